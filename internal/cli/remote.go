package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
)

// Limits of a request to a daemon's admin address.
const (
	adminTimeout  = 5 * time.Second
	maxAdminBytes = 16 << 20
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "NUTMEGLATCH"

// remoteFlags holds the flags of commands that query a daemon.
type remoteFlags struct {
	admin string
	json  bool
}

func (f *remoteFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.admin, "admin", "127.0.0.1:9090", "admin `address` of the daemon")
	fs.BoolVar(&f.json, "json", false, "print JSON")
}

func (t *tool) statusCommand() *ffcli.Command {
	var f remoteFlags
	fs := t.flagSet("nutmeglatch status")
	f.register(fs)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "nutmeglatch status [--admin ADDRESS] [--json]",
		ShortHelp:  "Prints the state of an entry host.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("status takes no argument, got %q", args[0])
			}
			var st hostStatus
			if err := f.get(ctx, "/status", nil, &st); err != nil {
				return err
			}
			return t.printStatus(&st, f.json)
		},
	}
}

func (t *tool) explainCommand() *ffcli.Command {
	var f remoteFlags
	var src, dst, proto, token string
	fs := t.flagSet("nutmeglatch explain")
	f.register(fs)
	fs.StringVar(&src, "src", "", "caller's `address:port`")
	fs.StringVar(&dst, "dst", "", "service's `address:port`")
	fs.StringVar(&proto, "proto", "tcp", "tcp or udp")
	fs.StringVar(&token, "token", "", "`number` on the flow's packets, from a log line; for hosts that keep flows by token")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "nutmeglatch explain --src ADDRESS:PORT --dst ADDRESS:PORT [--proto tcp|udp] [--token NUMBER] [--admin ADDRESS] [--json]",
		ShortHelp:  "Says where a flow or command goes and why.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("explain takes no argument, got %q", args[0])
			}
			if _, err := admin.ParseQuery(src, dst, proto, token); err != nil {
				return usageError("%v", err)
			}
			var ex admin.Explanation
			query := url.Values{"src": {src}, "dst": {dst}, "proto": {proto}, "token": {token}}
			if err := f.get(ctx, "/explain", query, &ex); err != nil {
				return err
			}
			if f.json {
				return t.printJSON(ex)
			}
			for _, step := range ex.Steps {
				fmt.Fprintln(t.stdout, step)
			}
			return nil
		},
	}
}

// get requests path from the daemon and decodes the JSON response into out.
func (f *remoteFlags) get(ctx context.Context, path string, query url.Values, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: f.admin, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return usageError("admin address %q: %v", f.admin, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &exitError{status: ExitFailed, message: errors.Wrapf(err, "daemon at %s", f.admin).Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminBytes))
	if err != nil {
		return &exitError{status: ExitFailed, message: err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		return &exitError{status: ExitFailed, message: fmt.Sprintf("daemon at %s: %s: %s", f.admin, resp.Status, strings.TrimSpace(string(body)))}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &exitError{status: ExitFailed, message: errors.Wrapf(err, "daemon at %s", f.admin).Error()}
	}
	return nil
}

// print prints v as JSON, or with text in plain form.
func (t *tool) print(v any, asJSON bool, text func(w io.Writer)) error {
	if asJSON {
		return t.printJSON(v)
	}
	text(t.stdout)
	return nil
}

func (t *tool) printJSON(v any) error {
	enc := json.NewEncoder(t.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
