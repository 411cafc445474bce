package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// tellMembers sends the state of this host to as many hosts as a round of messages has. Those of the own data centre also
// learn when this host last heard from the others.
func (c *control) tellMembers() {
	now := c.host.now()
	near, far := c.members.Receivers(now)
	c.tellBoth(near, far, c.message(0, nil))
}

// spread passes on changes after a revision that were learned from a host, or from the store when it is not valid.
func (c *control) spread(from netip.AddrPort, after uint64, changes []registry.Update) {
	near, far := c.members.ChangeReceivers(from, c.host.now())
	c.tellBoth(near, far, c.message(after, changes))
}

func (c *control) tellBoth(near, far []netip.AddrPort, m *gossip.Message) {
	c.tell(far, m)
	m.LastContact = c.members.ContactAges(c.host.now())
	c.tell(near, m)
}

func (c *control) tell(receivers []netip.AddrPort, m *gossip.Message) {
	if len(receivers) == 0 {
		return
	}
	b, err := gossip.Encode(m)
	if err != nil {
		level.Error(c.logger).Log("msg", "message not encoded", "err", err)
		return
	}
	for _, to := range receivers {
		if _, err := c.conn.WriteToUDPAddrPort(b, to); err != nil {
			peerErrors.Inc()
			level.Debug(c.logger).Log("msg", "message not sent", "to", to, "err", err)
		}
	}
}

// receive reads the datagrams of other hosts.
func (c *control) receive(ctx context.Context) error {
	buffer := make([]byte, gossip.MaxDatagram+1)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			peerErrors.Inc()
			level.Debug(c.logger).Log("msg", "peer socket", "err", err)
			continue
		}
		m, err := gossip.Decode(buffer[:n])
		if err != nil || m.From.Addr != netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) {
			peerMalformed.Inc()
			level.Debug(c.logger).Log("msg", "message dropped", "from", from, "err", err)
			continue
		}
		select {
		case c.events <- heard{message: m}:
		default:
			eventsDropped.Inc()
		}
	}
}

// onMessage takes what another host tells.
func (c *control) onMessage(ctx context.Context, m *gossip.Message) {
	now := c.host.now()
	c.greet(m, c.members.Receive(m, now))
	if m.OutageAgeMs != gossip.NoRecentOutage {
		c.toldAway = max(c.toldAway, now-time.Duration(m.OutageAgeMs)*time.Millisecond)
	}
	if len(m.Changes) > 0 && m.Revision > c.state.Revision() {
		before := c.state.Revision()
		if changed, ok := c.state.Apply(m.Changes, m.After, m.Revision, now); ok {
			c.adopt(changed, before, m.From.Addr)
		}
	}
	if m.Revision > c.state.Revision() {
		c.fetch(ctx, m.From, now)
		return
	}
	if m.Confirmed() && m.Revision == c.state.Revision() {
		c.confirm(now - time.Duration(m.AgeMs)*time.Millisecond)
	}
}

// awayMemory is how long a host tells others that the store was away from it.
const awayMemory = 4 * time.Second

// awayMs returns the time since the store was away from this host.
func (c *control) awayMs(now time.Duration) int64 {
	at, ok := c.follower.OutageAt()
	if !ok || now-at > awayMemory {
		return gossip.NoRecentOutage
	}
	return (now - at).Milliseconds()
}

// greet answers a host that is new to this one or that knows few others, as after its start.
func (c *control) greet(m *gossip.Message, isNew bool) {
	if isNew {
		level.Info(c.logger).Log("msg", "host heard", "host", m.From.Addr, "data_centre", m.From.DataCentre)
	}
	names := c.members.BootstrapHosts(m, c.host.now())
	if !isNew && len(names) == 0 {
		return
	}
	answer := c.message(0, nil)
	if len(names) > 0 {
		introductions.Inc()
		answer.Hosts = names
	}
	c.tell([]netip.AddrPort{m.From.Addr}, answer)
}

// fullRounds is how often a message carries hosts and loads, which change slowly.
const fullRounds = 4

// message returns what this host has to say.
func (c *control) message(after uint64, changes []registry.Update) *gossip.Message {
	now := c.host.now()
	_, reader, readerAge := c.members.Reader(now)
	m := &gossip.Message{
		From:        gossip.Host{Addr: c.host.config.Peer, DataCentre: c.host.config.DataCentre},
		Revision:    c.state.Revision(),
		AgeMs:       c.host.ageMs(now),
		OutageAgeMs: c.awayMs(now),
		Leaving:     c.leaving.Load(),
		Reader:      reader,
		ReaderAgeMs: readerAge.Milliseconds(),
		NumKnown:    c.members.NumKnown(),
		After:       after,
		Changes:     changes,
	}
	if len(changes) > 0 || c.rounds%fullRounds != 1 {
		return m
	}
	m.Hosts = c.members.Sample(gossip.SampleHosts)
	if loads := c.host.loads.Load(); loads != nil {
		for _, l := range *loads {
			m.Loads = append(m.Loads, gossip.Load{Place: uint32(l.Place), Flows: l.Flows})
		}
	}
	return m
}

// confirm notes that another host has confirmed the registry as of a time.
func (c *control) confirm(at time.Duration) {
	c.follower.Confirm(at)
	c.noteConfirmed()
}

// noteConfirmed lets the traffic goroutine know the age of the registry.
func (c *control) noteConfirmed() {
	if at, ok := c.follower.Confirmed(); ok {
		c.host.confirmed.Store(int64(at))
	}
}

// fetch asks a host that knows more for what is missing here.
func (c *control) fetch(ctx context.Context, from gossip.Host, now time.Duration) {
	if c.behindAt == 0 {
		c.behindAt = now
	}
	patient := c.state.Loaded() && !c.members.ShouldFetchFrom(from, now-c.behindAt)
	if c.fetching || now < c.fetchAfter || patient {
		return
	}
	c.fetching = true
	query := gossip.Query{After: c.state.Revision(), ConfigVersion: c.state.ConfigVersion()}
	go func() {
		answer, err := gossip.Fetch(ctx, from.Addr, query)
		c.post(ctx, fetchEnd{from: from.Addr, copy: answer, err: err})
	}()
}

func (c *control) onFetchEnd(e fetchEnd) {
	now := c.host.now()
	c.fetching, c.fetchAfter = false, now+fetchPause
	if e.err != nil {
		fetchFailures.Inc()
		level.Info(c.logger).Log("msg", "fetch from a host failed", "host", e.from, "err", e.err)
		return
	}
	before := c.state.Revision()
	if !e.copy.Loaded || e.copy.Revision <= before {
		return
	}
	var changed []registry.Update
	if e.copy.Full {
		changed = c.state.Replace(e.copy.Updates, e.copy.Revision, now)
	} else {
		var ok bool
		if changed, ok = c.state.Apply(e.copy.Updates, e.copy.After, e.copy.Revision, now); !ok {
			return
		}
	}
	c.follower.CopyReceived()
	if e.copy.AgeMs > gossip.NeverConfirmed {
		c.confirm(now - time.Duration(e.copy.AgeMs)*time.Millisecond)
	}
	c.adopt(changed, before, e.from)
}

// answer gives another host what it misses.
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

func (c *control) copySince(q gossip.Query) *gossip.Copy {
	answer := &gossip.Copy{Loaded: c.state.Complete(), Revision: c.state.Revision(), AgeMs: c.host.ageMs(c.host.now()), After: q.After}
	switch {
	case !answer.Loaded:
	case c.state.Compacted(q.After) && answer.Revision == q.CachedRevision:
		answer.Full, answer.Cached = true, true
	default:
		answer.Updates, answer.Full = c.state.Since(q.After)
	}
	if !answer.Full {
		answer.Updates = c.state.EncodeDeltas(answer.Updates, q.ConfigVersion)
	}
	return answer
}
