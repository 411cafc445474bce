package cli

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
)

// anyCaller is the caller of a placement query that names none. Of routes that split their flows by weight, the caller's
// address selects the service.
const anyCaller = "0.0.0.0:0"

// placementOfHost is the answer of one host, or the error in its place.
type placementOfHost struct {
	Admin string `json:"admin"`
	*admin.Placement
	Error string `json:"error,omitempty"`
}

func (t *tool) whereCommand() *ffcli.Command {
	var admins, src, dst, proto string
	var asJSON bool
	fs := t.flagSet("nutmeglatch where")
	fs.StringVar(&admins, "admin", "127.0.0.1:9090", "admin `addresses` of the entry hosts to ask, separated by commas")
	fs.StringVar(&dst, "dst", "", "service's `address:port`")
	fs.StringVar(&src, "src", anyCaller, "caller's `address:port`")
	fs.StringVar(&proto, "proto", "tcp", "tcp or udp; for hosts that keep flows by owners")
	fs.BoolVar(&asJSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "where",
		ShortUsage: "nutmeglatch where --dst ADDRESS:PORT [--src ADDRESS:PORT] [--proto tcp|udp] [--admin ADDRESS,...] [--json]",
		ShortHelp:  "Says where a new flow would go now and why, without sending anything.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("where takes no argument, got %q", args[0])
			}
			if _, err := admin.ParseQuery(src, dst, proto, ""); err != nil {
				return usageError("%v", err)
			}
			query := url.Values{"src": {src}, "dst": {dst}, "proto": {proto}}
			hosts := askPlacements(ctx, strings.Split(admins, ","), query)
			if asJSON {
				if err := t.printJSON(hosts); err != nil {
					return err
				}
			} else if err := printPlacements(t.stdout, dst, hosts); err != nil {
				return err
			}
			return failedHosts(hosts)
		},
	}
}

// askPlacements asks hosts one after the other.
func askPlacements(ctx context.Context, admins []string, query url.Values) []placementOfHost {
	var hosts []placementOfHost
	for _, addr := range admins {
		h := placementOfHost{Admin: addr}
		var p admin.Placement
		if err := (&remoteFlags{admin: addr}).get(ctx, "/placement", query, &p); err != nil {
			h.Error = err.Error()
		} else {
			h.Placement = &p
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// failedHosts returns an error that names the hosts that did not answer, or nil.
func failedHosts(hosts []placementOfHost) error {
	var failed []string
	for _, h := range hosts {
		if h.Placement == nil {
			failed = append(failed, h.Admin)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return &exitError{status: ExitFailed, message: errors.Newf("no answer from %s", strings.Join(failed, ", ")).Error()}
}

// printPlacements prints the decision of each host first, then a note on hosts that disagree, then the candidates of the first
// host that answered.
func printPlacements(w io.Writer, dst string, hosts []placementOfHost) error {
	var first *admin.Placement
	var others []string
	for _, h := range hosts {
		p := h.Placement
		if p == nil {
			fmt.Fprintf(w, "%s: no answer: %s\n", h.Admin, h.Error)
			continue
		}
		fmt.Fprintf(w, "%s (%s): %s\n", p.Host, p.DataCentre, placementLine(p, dst))
		for _, note := range p.Notes {
			fmt.Fprintf(w, "  %s\n", note)
		}
		if first == nil {
			first = p
		} else if p.Decision != first.Decision || p.Reason != first.Reason || p.Service != first.Service {
			others = append(others, p.Host)
		}
	}
	if len(others) > 0 {
		fmt.Fprintf(w, "hosts that decide otherwise than %s: %s\n", first.Host, strings.Join(others, ", "))
	}
	if first == nil || len(first.Candidates) == 0 {
		return nil
	}
	fmt.Fprintf(w, "\ncandidates at %s, in the order of the choice:\n", first.Host)
	return printCandidates(w, first.Candidates)
}

// placementLine returns the decision of a host in one line.
func placementLine(p *admin.Placement, dst string) string {
	line := p.Decision
	if p.Server != "" {
		line += " to " + p.Server
	}
	if p.Service != "" {
		line += ", service " + p.Service
	}
	line += " (" + p.Reason + "); "
	if p.Route != "" {
		return line + "route " + p.Route + fullText(p.Full)
	}
	return line + "destination " + dst + fullText(p.Full)
}

func fullText(full bool) string {
	if full {
		return "; the service is full"
	}
	return ""
}

func printCandidates(w io.Writer, list []admin.Candidate) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "SERVER\tDATA CENTRE\tPREFERENCE\tWHY\tSLOTS\tFLOWS\tRUNNING\tWORK\tSPEED\tAGE")
	for i := range list {
		c := &list[i]
		why, speed, age := c.Why, "-", "-"
		if c.Cause != "" {
			why += " (" + c.Cause + ")"
		}
		if c.Samples > 0 {
			speed = fmt.Sprintf("%.2f by %d", c.Speed, c.Samples)
		}
		if c.SampleAgeMS >= 0 {
			age = milliseconds(c.SampleAgeMS)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%s\t%s\n", c.Server, c.DataCentre, c.Preference, why, c.Slots, c.Flows,
			c.Running, c.Work, speed, age)
	}
	return tw.Flush()
}
