package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/nutmeglatch/nutmeglatch/internal/load"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

func (t *tool) loadCommand() *ffcli.Command {
	fs := t.flagSet("nutmeglatch load")
	var cfg load.Config
	hosts := fs.String("hosts", "", "comma-separated GUE `addresses` of the entry hosts")
	listen := fs.String("listen", "", "`address` that the entry hosts' fabric_return names")
	service := fs.String("service", "", "`address` of the service's flows")
	udp := fs.Bool("udp", false, "open UDP flows instead of TCP flows")
	fs.IntVar(&cfg.FlowsPerSecond, "flows", load.DefaultFlowsPerSecond, fmt.Sprintf("new flows per second, 1 to %d", load.MaxFlowsPerSecond))
	fs.DurationVar(&cfg.Hold, "hold", load.DefaultHold, "life of a flow")
	fs.DurationVar(&cfg.Interval, "interval", load.DefaultInterval, "time between the requests of a flow")
	fs.DurationVar(&cfg.For, "for", load.DefaultFor, "time in which flows are opened")
	fs.DurationVar(&cfg.GiveUp, "give-up", load.DefaultGiveUp, "time without an answer after which a flow is broken")
	fs.IntVar(&cfg.Payload, "payload", load.DefaultPayload, "bytes per request")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of the choice of entry hosts")
	asJSON := fs.Bool("json", false, "print the report as JSON")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "nutmeglatch load --hosts ADDRESSES --listen ADDRESS --service ADDRESS [flags]",
		ShortHelp:  "Opens many flows through entry hosts and reports what became of them.",
		LongHelp: "It takes the place of the fabric and of the callers, for backend servers that answer like the stand-ins.\n" +
			"The exit status is 1 when a flow broke or was not opened.",
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("load takes no argument, got %q", args[0])
			}
			if *udp {
				cfg.Proto = packet.ProtoUDP
			}
			if min(int64(cfg.FlowsPerSecond), int64(cfg.Payload), int64(cfg.Hold), int64(cfg.Interval), int64(cfg.For), int64(cfg.GiveUp)) <= 0 {
				return usageError("--flows, --payload, --hold, --interval, --for and --give-up: want figures above 0")
			}
			if err := parseLoadAddrs(&cfg, *hosts, *listen, *service); err != nil {
				return err
			}
			return t.load(ctx, cfg, *asJSON)
		},
	}
}

func parseLoadAddrs(cfg *load.Config, hosts, listen, service string) error {
	for _, h := range strings.Split(hosts, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(h))
		if err != nil {
			return usageError("--hosts %q: want addresses with ports, separated by commas", hosts)
		}
		cfg.Hosts = append(cfg.Hosts, addr)
	}
	for _, f := range []struct {
		name, text string
		to         *netip.AddrPort
	}{{"--listen", listen, &cfg.Listen}, {"--service", service, &cfg.Service}} {
		addr, err := netip.ParseAddrPort(f.text)
		if err != nil {
			return usageError("%s %q: want an address with a port", f.name, f.text)
		}
		*f.to = addr
	}
	return nil
}

func (t *tool) load(ctx context.Context, cfg load.Config, asJSON bool) error {
	if err := cfg.Check(); err != nil {
		return usageError("%v", err)
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return &exitError{status: ExitFailed, message: err.Error()}
	}
	if err := t.print(report, asJSON, func(w io.Writer) { printLoad(w, report) }); err != nil {
		return err
	}
	if report.Broken > 0 || report.NotOpened > 0 {
		return &exitError{status: ExitFailed}
	}
	return nil
}

func printLoad(w io.Writer, r *load.Report) {
	fmt.Fprintf(w, "%d flows in %d ms (%.0f opened per second, at most %d open): %d completed, %d broken %v, %d not opened\n",
		r.Flows, r.DurationMS, r.FlowsPerSecond, r.PeakOpen, r.Completed, r.Broken, r.BrokenByCause, r.NotOpened)
	fmt.Fprintf(w, "%d packets sent, %d of them repeated, %d answers\n", r.Sent, r.Retransmitted, r.Answers)
	fmt.Fprintf(w, "opening: p50 %d us, p99 %d us; answers: p50 %d us, p99 %d us\n",
		r.OpenMicros.P50, r.OpenMicros.P99, r.AnswerMicros.P50, r.AnswerMicros.P99)
}
