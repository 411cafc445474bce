package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/admission"
	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// claimCallTimeout bounds the calls that store or transfer claims. The owner
// repeats them as long as the command's deadline allows.
const claimCallTimeout = time.Second

// runCallMargin is added to a command's deadline for the call to its
// admitting host, so that the host's answer about the deadline still arrives.
const runCallMargin = 250 * time.Millisecond

// commandHops bounds how often a command is forwarded between hosts that
// compute different owners.
const commandHops = 3

// commandPacket is a caller's request with what is needed to forward it.
type commandPacket struct {
	flow    packet.Key
	service string
	request command.Request
	inner   []byte
	hops    uint8
}

// commandRequest hands a command that this host owns to the control goroutine.
func (d *Daemon) commandRequest(snap *route.Snapshot, info *packet.Info, inner []byte, hops uint8) {
	svc := snap.Services.Get(serviceAddr(info.Key))
	if svc == nil {
		countDroppedReason("command", "no_service")
		return
	}
	payload := inner[info.PayloadOffset : info.PayloadOffset+info.PayloadLen]
	req, err := command.ParseRequest(payload)
	if err != nil {
		d.refuseCommand(info.Key, err)
		return
	}
	p := commandPacket{flow: info.Key, service: svc.Name, request: req, inner: slices.Clone(inner), hops: hops}
	d.tryPost(func(c *control, now time.Time) { c.command(now, p) })
}

func serviceAddr(k packet.Key) route.ServiceAddr {
	dst := k.Destination()
	return route.ServiceAddr{Addr: dst.Addr(), Port: dst.Port(), Proto: k.Proto}
}

// refuseCommand answers a request that cannot be parsed.
func (d *Daemon) refuseCommand(k packet.Key, err error) {
	var re *command.RequestError
	if !errors.As(err, &re) {
		return
	}
	countDroppedReason("command", string(re.Reason))
	if body := re.Response(); body != nil {
		d.answerCaller(k, body)
	}
}

func (d *Daemon) answerCaller(k packet.Key, body []byte) {
	d.sendInner(packet.AppendUDP(nil, k.Reverse(), body), d.settings.FabricReturn)
}

// commandReply hands a backend server's answer to a command to the control
// goroutine. It returns false for packets of flows.
func (d *Daemon) commandReply(snap *route.Snapshot, from netip.AddrPort, info *packet.Info, inner []byte) bool {
	k := info.Key.Reverse()
	svc := snap.Services.Get(serviceAddr(k))
	if svc == nil || svc.CommandAddr != serviceAddr(k) {
		return false
	}
	body := slices.Clone(inner[info.PayloadOffset : info.PayloadOffset+info.PayloadLen])
	d.tryPost(func(c *control, now time.Time) {
		to, _ := c.replyHost(now, from)
		c.performCommands(now, c.runner.Reply(now, from, k, body, to != ""))
	})
	return true
}

// command handles a caller's request at the owner of its bucket.
func (c *control) command(now time.Time, p commandPacket) {
	doc := c.config.Current().Services[p.service]
	if doc == nil || doc.Commands == nil {
		countDroppedReason("command", "no_service")
		return
	}
	in := command.Input{
		Service:    p.service,
		Bucket:     uint8(p.flow.Hash() % route.Buckets),
		Flow:       p.flow,
		Idempotent: slices.Contains(doc.Commands.IdempotentMethods, p.request.Method),
		Deadline:   min(doc.Commands.Deadline.Std(), c.d.settings.Limits.CommandDeadline.Std()),
		Candidates: c.candidates(p.service, p.flow.Hash()^uint64(now.UnixNano())),
	}
	c.ensureOwners(now, p.service)
	outcomes := c.commands.Request(now, in, p.request)
	for _, o := range outcomes {
		if f, ok := o.(command.Forward); ok {
			c.forwardCommand(p, f.To)
		}
	}
	c.performCommands(now, outcomes)
}

// forwardCommand forwards a request to the current owner of its bucket.
func (c *control) forwardCommand(p commandPacket, to string) {
	addr, ok := c.d.lookup(to)
	if !ok || p.hops == 0 {
		countDroppedReason("command", "not_owner")
		return
	}
	self := c.d.settings.Peer
	h := packet.ForwardHeader{Kind: packet.KindCommand, Hops: p.hops, Origin: self, Sender: self}
	out := packet.AppendForward(nil, &c.d.key, &h, p.inner)
	if _, err := c.d.peerUDP.WriteToUDPAddrPort(out, addr); err != nil {
		counters.sendErrors.Inc()
	}
}

// candidates returns the backend servers that may run a command, in a
// pseudo-random order that is derived from seed.
func (c *control) candidates(service string, seed uint64) []command.Candidate {
	svc := c.d.snapshot.Load().ByName.Get(service)
	if svc == nil {
		return nil
	}
	usable := slices.DeleteFunc(slices.Clone(svc.Backends), func(b *route.Backend) bool {
		return b.Weight <= 0 || b.DataCentreOut || b.Draining || b.Unusable
	})
	slices.SortFunc(usable, func(a, b *route.Backend) int {
		return cmp.Compare(hashAddrPort(a.Addr, seed), hashAddrPort(b.Addr, seed))
	})
	out := make([]command.Candidate, 0, len(usable))
	for _, b := range usable {
		if host := c.admittingHost(b.Addr); host != "" {
			out = append(out, command.Candidate{Backend: b.Addr, Host: host})
		}
	}
	return out
}

func hashAddrPort(a netip.AddrPort, seed uint64) uint64 {
	b, _ := a.MarshalBinary()
	d := xxhash.NewWithSeed(seed)
	_, _ = d.Write(b)
	return d.Sum64()
}

// admittingHost returns the host that admits a backend server's commands.
func (c *control) admittingHost(backend netip.AddrPort) string {
	b := c.d.snapshot.Load().Backends.Get(backend)
	if b == nil {
		return ""
	}
	id, _ := admission.AdmittingHost(backend, b.DataCentre, c.limits.ranking)
	return id
}

// replyHost returns the host to which a reply is forwarded if no command of
// this host matches it, empty for none: the backend server's admitting host or,
// if that is this host, the previous admitting host, whose commands may still
// run. last is true for the previous one, which must not forward the reply again.
func (c *control) replyHost(now time.Time, backend netip.AddrPort) (to string, last bool) {
	if host := c.admittingHost(backend); host != c.d.settings.HostID {
		return host, false
	}
	to = c.limits.slots.PreviousHost(now, backend)
	return to, to != ""
}

// performCommands performs the outcomes of the command package.
func (c *control) performCommands(now time.Time, outcomes []command.Outcome) {
	for _, o := range outcomes {
		switch o := o.(type) {
		case command.Answer:
			c.d.answerCaller(o.Flow, o.Body)
		case command.SendBackend:
			c.d.sendInner(packet.AppendUDP(nil, o.Flow, o.Body), o.Backend)
		case command.Cancel:
			c.d.sendInner(packet.AppendUDP(nil, o.Flow, o.Body), o.Backend)
		case command.StoreClaim:
			c.storeClaim(o)
		case command.Run:
			c.runCommand(now, o)
		case command.Finish:
			c.finishRun(now, o)
		case command.Complete:
			c.call(o.To, command.MethodComplete, o.Message, nil)
		case command.Transfer:
			c.transferClaims(o)
		case command.QueryCoverage:
			c.queryCoverage(o)
		case command.ForwardReply:
			to, final := c.replyHost(now, o.Message.Backend)
			o.Message.Final = final
			c.call(to, command.MethodReply, o.Message, nil)
		}
	}
}

func (c *control) storeClaim(o command.StoreClaim) {
	callPeer(c, o.To, command.MethodClaim, claimCallTimeout, o.Message,
		func(c *control, now time.Time, reply command.ClaimReply, status command.CallStatus) {
			c.performCommands(now, c.commands.ClaimResult(now, o.To, o.Ref, reply, status))
		})
}

func (c *control) transferClaims(o command.Transfer) {
	callPeer(c, o.To, command.MethodTransfer, claimCallTimeout, o.Message,
		func(c *control, now time.Time, reply command.TransferReply, status command.CallStatus) {
			c.performCommands(now, c.commands.TransferResult(now, o.Seq, reply, status))
		})
}

func (c *control) queryCoverage(o command.QueryCoverage) {
	callPeer(c, o.To, command.MethodCoverage, claimCallTimeout, o.Message,
		func(c *control, now time.Time, reply command.CoverageReply, status command.CallStatus) {
			c.performCommands(now, c.commands.CoverageResult(now, o.To, o.Message, reply, status))
			c.checkHandover(now)
		})
}

// runCommand runs a command through the admitting host of its backend server.
func (c *control) runCommand(now time.Time, o command.Run) {
	if o.Host == c.d.settings.HostID {
		c.acceptRun(now, o.Message, func(c *control, now time.Time, reply command.RunReply) {
			c.performCommands(now, c.commands.RunResult(now, o.Host, o.Ref, reply, command.CallDone))
		})
		return
	}
	timeout := time.Duration(o.Message.DeadlineMS)*time.Millisecond + runCallMargin
	callPeer(c, o.Host, command.MethodRun, timeout, o.Message,
		func(c *control, now time.Time, reply command.RunReply, status command.CallStatus) {
			c.performCommands(now, c.commands.RunResult(now, o.Host, o.Ref, reply, status))
		})
}

// runCall is a run whose result is awaited by a local owner or a remote call.
type runCall struct {
	request    command.RunRequest
	originBoot uint64 // boot id of the origin when the run was accepted
	done       runDone
}

// runDone receives the result of a run.
type runDone func(c *control, now time.Time, reply command.RunReply)

// acceptRun passes a run to the local runner and registers done for its result.
func (c *control) acceptRun(now time.Time, m command.RunRequest, done runDone) {
	c.ensureOwners(now, m.Service)
	c.nextCall++
	c.runCalls[c.nextCall] = runCall{request: m, originBoot: c.bootIDs[m.Origin], done: done}
	c.performCommands(now, c.runner.Run(now, c.nextCall, m, c.admitsRun(&m)))
}

// admitsRun reports whether this host admits the commands of the backend
// server of a run.
func (c *control) admitsRun(m *command.RunRequest) bool {
	return c.serving && c.admittingHost(m.Backend) == c.d.settings.HostID && c.servesCommands(m)
}

// servesCommands reports whether the backend server belongs to the service.
func (c *control) servesCommands(m *command.RunRequest) bool {
	b := c.d.snapshot.Load().Backends.Get(m.Backend)
	return b != nil && b.Service.Name == m.Service && !b.DataCentreOut && !b.Unusable
}

func (c *control) finishRun(now time.Time, o command.Finish) {
	call, ok := c.runCalls[o.Call]
	if !ok {
		return
	}
	delete(c.runCalls, o.Call)
	if o.Reply.Reason == command.ReasonShed {
		c.limits.health.Evidence(now, call.request.Backend, health.Evidence{Sheds: 1})
		c.dirty = true // publish updates the slots before the next command is admitted
	}
	c.results.Add(now, call.originBoot, call.request, o.Reply)
	if c.bootIDs[call.request.Origin] != call.originBoot {
		c.forwardResults(now)
	}
	// The event is queued, not run here, because command.State and
	// command.Runner are not reentrant.
	d, reply := c.d, o.Reply
	d.environment.Go(func() { d.post(func(c *control, now time.Time) { call.done(c, now, reply) }) })
}

// forwardResults sends the results of commands whose owner has died or
// restarted to the other owner.
func (c *control) forwardResults(now time.Time) {
	records := c.results.TakeOrphaned(now, func(host string) uint64 { return c.bootIDs[host] })
	c.performCommands(now, c.commands.ForwardResults(now, records))
}

// callPeer calls a peer in the background and runs done with the decoded result
// on the control goroutine.
func callPeer[R any](c *control, id, method string, timeout time.Duration, params any, done func(c *control, now time.Time, reply R, status command.CallStatus)) {
	d, ctx := c.d, c.ctx
	d.environment.Go(func() {
		ctx, cancel := d.environment.WithTimeout(ctx, timeout)
		defer cancel()
		var reply R
		status := callStatus(d.environment.Call(ctx, id, method, params, &reply))
		if status != command.CallDone {
			countCallFailure(method)
		}
		d.post(func(c *control, now time.Time) { done(c, now, reply, status) })
	})
}

// callStatus classifies the error of a call. An error that the called host
// returned before its handler ran counts as not sent.
func callStatus(err error) command.CallStatus {
	var remote *peer.RemoteError
	switch {
	case err == nil:
		return command.CallDone
	case errors.Is(err, peer.ErrNotSent):
		return command.CallNotSent
	case errors.As(err, &remote) && (remote.Code == peer.CodeBusy || remote.Code == peer.CodeUnlisted):
		return command.CallNotSent
	default:
		return command.CallLost
	}
}

func handleClaim(d *Daemon, ctx context.Context, from string, params json.RawMessage) (any, error) {
	return answer(d, ctx, params, func(c *control, now time.Time, m command.ClaimRequest) command.ClaimReply {
		return c.commands.Claim(now, from, m)
	})
}

func handleComplete(d *Daemon, ctx context.Context, from string, params json.RawMessage) (any, error) {
	return answer(d, ctx, params, func(c *control, now time.Time, m command.CompleteRequest) bool {
		c.performCommands(now, c.commands.Complete(now, from, m))
		return true
	})
}

func handleTransfer(d *Daemon, ctx context.Context, from string, params json.RawMessage) (any, error) {
	return answer(d, ctx, params, func(c *control, now time.Time, m command.TransferRequest) command.TransferReply {
		reply, outcomes := c.commands.Transfer(now, from, m)
		c.performCommands(now, outcomes)
		return reply
	})
}

func handleCoverage(d *Daemon, ctx context.Context, from string, params json.RawMessage) (any, error) {
	return answer(d, ctx, params, func(c *control, now time.Time, m command.CoverageRequest) command.CoverageReply {
		return c.commands.Coverage(now, from, m)
	})
}

func handleReply(d *Daemon, ctx context.Context, _ string, params json.RawMessage) (any, error) {
	return answer(d, ctx, params, func(c *control, now time.Time, m command.ReplyRequest) bool {
		_, mine := c.replyHost(now, m.Backend)
		c.performCommands(now, c.runner.Reply(now, m.Backend, m.Flow(), m.Body, mine && !m.Final))
		return true
	})
}

// handleRun runs a command and replies when the run has ended.
func handleRun(d *Daemon, ctx context.Context, _ string, params json.RawMessage) (any, error) {
	m, err := decodeParams[command.RunRequest](params)
	if err != nil {
		return nil, err
	}
	result := make(chan command.RunReply, 1)
	_, err = runOnControl(ctx, d, func(c *control, now time.Time) bool {
		c.acceptRun(now, m, func(_ *control, _ time.Time, reply command.RunReply) { result <- reply })
		return true
	})
	if err != nil {
		return nil, err
	}
	select {
	case reply := <-result:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
