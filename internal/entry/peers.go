package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/healthcheck"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// sendRound sends the state of this host to the receivers of a gossip round. Receivers in the own data centre also get the
// times since this host last received a message from each data centre.
func (c *control) sendRound() {
	now := c.host.now()
	local, remote := c.members.Receivers(now)
	c.sendToReceivers(local, remote, c.message(0, nil))
}

// sendChanges sends the changes after a revision to other hosts. The changes were received from the host from, or from the
// store if from is invalid.
func (c *control) sendChanges(from netip.AddrPort, after uint64, changes []registry.Update) {
	local, remote := c.members.ChangeReceivers(from, c.host.now())
	c.sendToReceivers(local, remote, c.message(after, changes))
}

// sendToReceivers sends m to remote hosts, and to local hosts with the ages of contacts, the votes and what this host knows of
// backend servers added.
func (c *control) sendToReceivers(local, remote []netip.AddrPort, m *gossip.Message) {
	c.send(remote, m)
	m.Servers = c.serverLoads(len(local))
	c.sendToLocal(local, m)
}

// sendToLocal sends m to hosts of the own data centre, with the ages of contacts and the votes added.
func (c *control) sendToLocal(receivers []netip.AddrPort, m *gossip.Message) {
	now := c.host.now()
	m.LastContact, m.SecondHand = c.members.ContactAges(now), c.members.SecondHandAges(now)
	m.Votes = c.members.HostVotes(m.Withdraw, now)
	c.send(receivers, m)
}

func (c *control) send(receivers []netip.AddrPort, m *gossip.Message) {
	if len(receivers) == 0 {
		return
	}
	b, err := gossip.Encode(m)
	if err != nil {
		level.Error(c.logger).Log("msg", "encoding a message to other hosts failed", "err", err)
		return
	}
	for _, to := range receivers {
		if _, err := c.conn.WriteToUDPAddrPort(b, to); err != nil {
			peerErrors.Inc()
			level.Debug(c.logger).Log("msg", "sending a message to a host failed", "to", to, "err", err)
		}
	}
}

// receive reads messages of other hosts and queues them for the control goroutine. It drops malformed messages, and all
// messages while the queue is full.
func (c *control) receive(ctx context.Context) error {
	buffer := make([]byte, gossip.MaxDatagram+1)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			peerErrors.Inc()
			level.Debug(c.logger).Log("msg", "read from peer socket failed", "err", err)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if healthcheck.IsMessage(buffer[:n]) {
			c.receiveCheckMessage(buffer[:n], from)
			continue
		}
		m, err := gossip.Decode(buffer[:n])
		if err != nil || m.From.Addr != from {
			peerMalformed.Inc()
			level.Debug(c.logger).Log("msg", "malformed message dropped", "from", from, "err", err)
			continue
		}
		select {
		case c.events <- messageEvent{message: m}:
		default:
			eventsDropped.Inc()
		}
	}
}

// receiveCheckMessage hands a message about checks over to the traffic goroutine. It drops malformed messages, and all
// messages while the inbox is full.
func (c *control) receiveCheckMessage(b []byte, from netip.AddrPort) {
	now := c.host.now()
	m, err := healthcheck.Decode(b, now)
	if err != nil {
		peerMalformed.Inc()
		level.Debug(c.logger).Log("msg", "malformed message about checks dropped", "from", from, "err", err)
		return
	}
	findingsOutdated.Add(m.AdjustForDelay(c.host.gaps.maxDelay(now)))
	if !c.host.checkInbox.put(checkMessage{from: from, message: m}) {
		eventsDropped.Inc()
	}
}

// onMessage handles a message of another host: it applies its changes, fetches missing ones, or takes over its confirmation
// of the registry.
func (c *control) onMessage(ctx context.Context, m *gossip.Message) {
	now := c.host.now()
	c.replyToNewHost(m, c.members.Receive(m, now))
	if c.members.ShouldAnswer(m, now) {
		c.sendToLocal([]netip.AddrPort{m.From.Addr}, c.stateMessage(0, nil))
	}
	if m.From.DataCentre == c.host.config.DataCentre {
		c.workPeers.Receive(m.From.Addr, workReports(m.Servers), now-c.pauses.waited(now))
	}
	if m.OutageAgeMs != gossip.NoRecentOutage {
		c.reportedOutageAt = max(c.reportedOutageAt, now-time.Duration(m.OutageAgeMs)*time.Millisecond)
	}
	if len(m.Changes) > 0 && m.Era == c.state.Version().Era && m.Revision > c.state.Revision() {
		before := c.state.Revision()
		if changed, ok := c.state.Apply(m.Changes, m.After, m.Revision, now); ok {
			c.propagateChanges(changed, before, m.From.Addr)
		}
	}
	if c.state.Version().Before(m.Version()) || m.Holding && m.Era == c.state.Version().Era && c.state.LacksOlder(now) {
		c.fetch(ctx, m, now)
		return
	}
	if m.Confirmed() && m.Version() == c.state.Version() {
		c.confirm(now - c.pauses.waited(now) - time.Duration(m.AgeMs)*time.Millisecond)
	}
}

// outageReportTime is how long after an outage of the store a host reports it to other hosts.
const outageReportTime = 4 * time.Second

// outageAgeMs returns the time since the store was last unavailable to this host, in milliseconds, or
// gossip.NoRecentOutage if that is longer than outageReportTime ago.
func (c *control) outageAgeMs(now time.Duration) int64 {
	at, ok := c.follower.OutageAt()
	if !ok || now-at > outageReportTime {
		return gossip.NoRecentOutage
	}
	return (now - at).Milliseconds()
}

// replyToNewHost replies to a host that is new to this one, or that has learned of few others because it has just started.
// The latter is sent addresses of hosts.
func (c *control) replyToNewHost(m *gossip.Message, isNew bool) {
	if isNew {
		level.Info(c.logger).Log("msg", "new host discovered", "host", m.From.Addr, "data_centre", m.From.DataCentre)
	}
	hosts := c.members.BootstrapHosts(m, c.host.now())
	if !isNew && len(hosts) == 0 {
		return
	}
	reply := c.message(0, nil)
	if len(hosts) > 0 {
		bootstrapReplies.Inc()
		reply.Hosts, reply.Demand = hosts, nil // with Hosts, Demand would have to be complete
	}
	c.send([]netip.AddrPort{m.From.Addr}, reply)
}

// fullRounds is the number of gossip rounds from one message with hosts and loads to the next. They change slowly, so the
// messages between omit them.
const fullRounds = 4

// message returns a message with the state of this host and the given changes after a revision. In every fullRounds-th round
// it also lists hosts and loads.
func (c *control) message(after uint64, changes []registry.Update) *gossip.Message {
	m := c.stateMessage(after, changes)
	demand := c.host.demand.Load()
	if demand != nil {
		m.Demand = demand.urgent
	}
	if len(changes) > 0 || c.rounds%fullRounds != 1 {
		return m
	}
	if demand != nil {
		m.Demand = demand.services
	}
	m.Hosts = c.members.Sample(gossip.SampleHosts)
	if loads := c.host.loads.Load(); loads != nil {
		for _, l := range *loads {
			m.Loads = append(m.Loads, gossip.Load{Place: uint32(l.Place), Flows: l.Flows})
		}
	}
	return m
}

// stateMessage returns a message with the state of this host, without hosts and loads.
func (c *control) stateMessage(after uint64, changes []registry.Update) *gossip.Message {
	now := c.host.now()
	_, reader, readerAge := c.members.Reader(now)
	return &gossip.Message{
		From:            gossip.Host{Addr: c.host.config.Peer, DataCentre: c.host.config.DataCentre},
		Revision:        c.state.Revision(),
		AgeMs:           c.host.ageMs(now),
		OutageAgeMs:     c.outageAgeMs(now),
		Leaving:         c.host.leaving.Load(),
		Reader:          reader,
		ReaderAgeMs:     readerAge.Milliseconds(),
		NumKnown:        c.members.NumKnown(),
		After:           after,
		Changes:         changes,
		Withdraw:        c.withdrawal.last.Vote,
		ReaderHeartbeat: c.members.ReaderHeartbeat(now),
		Era:             c.state.Version().Era,
		Holding:         c.state.Holding(),
	}
}

// confirm records that another host has confirmed the registry to match the store at a time.
func (c *control) confirm(at time.Duration) {
	c.follower.Confirm(at)
	c.publishConfirmed()
}

// publishConfirmed publishes the time of the last confirmation to the other goroutines.
func (c *control) publishConfirmed() {
	if at, ok := c.follower.Confirmed(); ok {
		c.host.confirmedAt.Store(int64(at))
	}
}

// fetch starts a fetch of missing changes from the sender of a message with a newer revision, unless another fetch is running
// or has just ended, the fetch must wait for another sender, see gossip.Members.ShouldFetchFrom, the sender's contents may be
// outdated, or fetches from it have failed.
func (c *control) fetch(ctx context.Context, m *gossip.Message, now time.Duration) {
	if c.behindSince == 0 {
		c.behindSince = now
	}
	from := m.From
	postponed := c.state.Loaded() && !c.members.ShouldFetchFrom(from, now-c.behindSince)
	if c.fetching || now < c.fetchAfter || postponed || c.outdated(m) || !c.fetchBackoff.allows(from.Addr, now) {
		return
	}
	c.fetching = true
	query := gossip.Query{Era: c.state.Version().Era, After: c.state.Revision(), ConfigVersion: c.state.ConfigVersion()}
	if c.state.LacksOlder(now) {
		query = gossip.Query{} // only a full copy contains knowledge of an older era
	}
	go func() {
		answer, err := gossip.Fetch(ctx, from.Addr, query)
		c.post(ctx, fetchEnd{from: from.Addr, startedAt: now, copy: answer, err: err})
	}()
}

// outdated reports whether the sender of a message can't confirm its contents although the store answers this host. A host
// that has just started would put entries in force that the store no longer has.
func (c *control) outdated(m *gossip.Message) bool {
	age := time.Duration(m.AgeMs) * time.Millisecond
	return !c.state.Loaded() && !c.storeDown && (!m.Confirmed() || age > c.limits.Follower.StaleAfter)
}

func (c *control) onFetchEnd(e fetchEnd) {
	now := c.host.now()
	c.fetching, c.fetchAfter = false, now+fetchDelay
	if e.err != nil {
		c.fetchBackoff.failed(e.from, now)
		fetchFailures.Inc()
		level.Info(c.logger).Log("msg", "fetching changes from a host failed", "host", e.from, "err", e.err)
		return
	}
	before := c.state.Revision()
	c.adoptOlder(e.copy, now)
	if !e.copy.Loaded || !c.state.Version().Before(e.copy.Version()) {
		return
	}
	var changed []registry.Update
	switch {
	case e.copy.Era != c.state.Version().Era:
		if e.copy.Full {
			c.restoreFromCopy(e, now)
		}
		return
	case e.copy.Full:
		changed = c.state.Replace(e.copy.Updates, e.copy.Revision, now)
	default:
		var ok bool
		if changed, ok = c.state.Apply(e.copy.Updates, e.copy.After, e.copy.Revision, now); !ok {
			c.fetchBackoff.failed(e.from, now)
			return
		}
	}
	c.copyApplied(e)
	c.propagateChanges(changed, before, e.from)
}

// copyApplied records that the copy of a fetch has been applied.
func (c *control) copyApplied(e fetchEnd) {
	c.fetchBackoff.succeeded(e.from)
	c.follower.CopyReceived()
	if e.copy.AgeMs > gossip.NeverConfirmed {
		c.confirm(e.startedAt - time.Duration(e.copy.AgeMs)*time.Millisecond)
	}
}

// answer answers another host's query for the changes that it lacks.
func (c *control) answer(ctx context.Context, q gossip.Query) (*gossip.Copy, error) {
	reply := make(chan *gossip.Copy, 1)
	c.post(ctx, queryEvent{query: q, reply: reply})
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// copySince returns the changes after the revision of a query, or all contents if those changes have been compacted.
func (c *control) copySince(q gossip.Query) *gossip.Copy {
	at := c.state.Version()
	answer := &gossip.Copy{
		Loaded: c.state.Complete(), Era: at.Era, Revision: at.Revision, Began: c.state.Began(),
		AgeMs: c.host.ageMs(c.host.now()), After: q.After, Holding: c.state.Holding(),
	}
	if q.Era != at.Era {
		q.After = 0
	}
	switch {
	case !answer.Loaded:
	case c.state.Compacted(q.After) && at == q.Cached && answer.Holding == q.CachedHolding:
		answer.Full, answer.Cached = true, true
	default:
		answer.Updates, answer.Full = c.state.Since(q.After)
	}
	if !answer.Full {
		answer.Updates = c.state.EncodeDeltas(answer.Updates, q.ConfigVersion)
	}
	return answer
}
