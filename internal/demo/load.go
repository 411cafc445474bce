package demo

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// Parameters of the callers' load.
const (
	longFlows       = 280 // flows that last for the whole run
	flowInterval    = 200 * time.Millisecond
	flowPayload     = 200 // bytes per request
	flowTimeout     = 6 * time.Second
	commandRepeat   = 400 * time.Millisecond
	commandTimeout  = 6 * time.Second
	firstSourcePort = 10000
)

// Methods of the demo's commands.
const (
	methodStatus  = "status"
	methodRestore = "restore"
)

// load generates the callers' traffic and records its results.
type load struct {
	callers []*standin.Caller
	rnd     *rand.Rand

	mu       sync.Mutex
	wg       sync.WaitGroup
	next     uint32
	flows    []standin.FlowResult
	attempts []time.Time // start times of the flows, in the order of flows
	commands []standin.CommandResult
	requests []time.Time // start times of the commands, in the order of commands
}

// source returns an address that no other flow or command of the run uses.
func (l *load) source() netip.AddrPort {
	n := l.next
	l.next++
	const ports = 50000
	addr := netip.AddrFrom4([4]byte{203, 0, 113, byte(1 + n/ports)})
	return netip.AddrPortFrom(addr, uint16(firstSourcePort+n%ports))
}

func (l *load) caller(n uint32) *standin.Caller { return l.callers[int(n)%len(l.callers)] }

// startFlow runs a flow in the background.
func (l *load) startFlow(ctx context.Context, s *document.Service, d time.Duration) {
	l.mu.Lock()
	source := l.source()
	caller := l.caller(l.next)
	l.mu.Unlock()
	proto := uint8(packet.ProtoTCP)
	if s.Protocol == document.UDP {
		proto = packet.ProtoUDP
	}
	cfg := standin.FlowConfig{
		Source: source, Destination: s.FlowAddr(), Proto: proto,
		Interval: flowInterval, Duration: d, Timeout: flowTimeout, Payload: flowPayload,
	}
	started := time.Now()
	l.wg.Go(func() {
		r := caller.RunFlow(ctx, cfg)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.flows = append(l.flows, r)
		l.attempts = append(l.attempts, started)
	})
}

// startCommand runs a command in the background.
func (l *load) startCommand(ctx context.Context, s *document.Service) {
	l.mu.Lock()
	source := l.source()
	id := uint64(l.next)
	caller := l.caller(l.next)
	method := methodRestore
	if l.rnd.IntN(10) < 3 {
		method = methodStatus
	}
	l.mu.Unlock()
	cfg := standin.CommandConfig{
		Source: source, Destination: s.Commands.AddrPort(),
		ID: id, Method: method, Params: source.String(), Repeat: commandRepeat, Timeout: commandTimeout,
	}
	started := time.Now()
	l.wg.Go(func() {
		r := caller.RunCommand(ctx, cfg)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.commands = append(l.commands, r)
		l.requests = append(l.requests, started)
	})
}

// run starts flows and commands at the configured rates until the context ends.
func (l *load) run(ctx, flowCtx context.Context, services []*document.Service, flowsPerSecond, commandsPerSecond int) {
	l.wg.Go(func() {
		l.every(ctx, flowsPerSecond, func(i int) {
			d := time.Second + time.Duration(l.intN(2000))*time.Millisecond
			l.startFlow(flowCtx, services[i%len(services)], d)
		})
	})
	for _, s := range services {
		if s.Commands != nil {
			l.wg.Go(func() {
				l.every(ctx, commandsPerSecond, func(int) { l.startCommand(flowCtx, s) })
			})
		}
	}
}

func (l *load) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rnd.IntN(n)
}

// every calls f at a rate until the context ends.
func (l *load) every(ctx context.Context, perSecond int, f func(i int)) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(i)
		}
	}
}
