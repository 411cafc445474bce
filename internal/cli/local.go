package cli

import (
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (t *tool) checkCommand() *ffcli.Command { return &ffcli.Command{Name: "check"} }
func (t *tool) demoCommand() *ffcli.Command  { return &ffcli.Command{Name: "demo"} }
