package cli

import (
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (t *tool) replayCommand() *ffcli.Command { return &ffcli.Command{Name: "replay"} }
