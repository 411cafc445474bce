package daemon

import (
	"context"
	"net/netip"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/membership"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// maxDatagramBytes is the largest UDP payload over IPv4.
const maxDatagramBytes = 65507

func (d *Daemon) workers() int {
	if d.settings.Workers > 0 {
		return d.settings.Workers
	}
	return runtime.GOMAXPROCS(0)
}

// worker holds the buffers of one traffic goroutine.
type worker struct {
	d      *Daemon
	parser packet.Parser
	info   packet.Info
	header packet.ForwardHeader
	in     []byte
	out    []byte
}

func (d *Daemon) newWorker() *worker {
	return &worker{
		d:   d,
		in:  make([]byte, maxDatagramBytes),
		out: make([]byte, 0, maxDatagramBytes),
	}
}

// read returns the next datagram, or an error when the socket is closed.
// Errors of single datagrams, such as ICMP errors, are counted and skipped.
func (w *worker) read(ctx context.Context, conn PacketConn) (int, netip.AddrPort, error) {
	for {
		n, from, err := conn.ReadFromUDPAddrPort(w.in)
		switch {
		case err == nil:
			return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), nil
		case ctx.Err() != nil:
			return 0, from, ctx.Err()
		case isClosed(err):
			return 0, from, err
		}
		counters.socketErrors.Inc()
	}
}

// serveGUE handles packets from the fabric and from backend servers.
func (d *Daemon) serveGUE(ctx context.Context) error {
	w := d.newWorker()
	for {
		n, from, err := w.read(ctx, d.gue)
		if err != nil {
			return err
		}
		w.handleGUE(w.in[:n], from)
	}
}

func (w *worker) handleGUE(inner []byte, from netip.AddrPort) {
	if err := w.parser.Parse(inner, &w.info); err != nil {
		countDropped("gue", err)
		return
	}
	d, snap, now := w.d, w.d.snapshot.Load(), w.d.now()
	if d.isPaused(now) {
		countDroppedReason("gue", "paused")
		return
	}
	if b := snap.Backends.Get(from); b != nil {
		countReply(b, &w.info)
		w.fromBackend(snap, from, inner, now)
		return
	}
	d.lastPacket.Store(int64(now))
	w.header.Hops = commandHops + 1
	w.perform(snap, d.router.FromFabric(snap, &w.info, now), inner)
}

// isPaused reports whether the control loop has not run for so long that the
// snapshot cannot be trusted. After a pause of the process, packets that were
// queued in the socket may be read before the control loop detects the pause.
func (d *Daemon) isPaused(now route.Time) bool {
	return time.Duration(int64(now)-d.lastTick.Load()) > d.settings.PauseLimit.Std()
}

func (w *worker) fromBackend(snap *route.Snapshot, from netip.AddrPort, inner []byte, now route.Time) {
	if w.d.commandReply(snap, from, &w.info, inner) {
		return
	}
	w.perform(snap, w.d.router.FromBackend(snap, from, &w.info, now), inner)
}

// servePeer handles forwarded packets, probes and reports from other entry hosts.
func (d *Daemon) servePeer(ctx context.Context) error {
	w := d.newWorker()
	for {
		n, from, err := w.read(ctx, d.peerUDP)
		if err != nil {
			return err
		}
		w.handlePeer(w.in[:n], from)
	}
}

func (w *worker) handlePeer(b []byte, from netip.AddrPort) {
	switch {
	case len(b) == 0:
		countDropped("peer", packet.ErrTruncated)
	case b[0] == peer.DatagramVersion:
		w.handleSealed(b, from)
	default: // packet.ForwardVersion; others are refused by the parser
		w.handleForwarded(b)
	}
}

func (w *worker) handleForwarded(b []byte) {
	d := w.d
	inner, err := packet.ParseForward(b, &d.key, &w.header)
	if err != nil {
		countDropped("peer", err)
		return
	}
	if err := w.parser.Parse(inner, &w.info); err != nil {
		countDropped("peer", err)
		return
	}
	snap, now := d.snapshot.Load(), d.now()
	if d.isPaused(now) {
		countDroppedReason("peer", "paused")
		return
	}
	d.lastPacket.Store(int64(now))
	w.perform(snap, d.router.FromPeer(snap, &w.header, &w.info, now), inner)
}

// handleSealed handles a probe or a report of another entry host.
func (w *worker) handleSealed(b []byte, from netip.AddrPort) {
	d := w.d
	dg, err := d.probes.Open(b)
	if err != nil {
		return // counted by reason
	}
	if isReport(dg.Body) {
		reportBytes.received.Add(len(b))
		d.handleReport(dg)
		return
	}
	probeBytes.received.Add(len(b))
	m, err := membership.DecodeMessage(dg.Body)
	if err != nil {
		countDropped("probe", err)
		return
	}
	sender := membership.Sender{ID: dg.From, Boot: dg.Boot, Addr: from}
	d.tryPost(func(c *control, now time.Time) { c.receiveProbe(now, sender, m) })
}

// perform executes the router's action for a packet.
func (w *worker) perform(snap *route.Snapshot, a route.Action, inner []byte) {
	d := w.d
	switch a.Kind {
	case route.ToBackend:
		countOpened(a.Backend, &w.info)
		w.write(d.gue, inner, a.Backend.Addr)
	case route.ToPeer:
		w.out = packet.AppendForward(w.out[:0], &d.key, &a.Header, inner)
		w.write(d.peerUDP, w.out, a.Peer)
	case route.ToCaller:
		w.write(d.gue, inner, d.settings.FabricReturn)
	case route.ResetCaller:
		w.reset(inner)
	case route.ToCommand:
		d.commandRequest(snap, &w.info, inner, w.header.Hops-1)
	case route.Drop:
	}
	countAction(a)
}

func (w *worker) reset(inner []byte) {
	out, err := packet.AppendReset(w.out[:0], inner)
	if err != nil {
		countDropped("reset", err)
		return
	}
	w.out = out
	w.write(w.d.gue, w.out, w.d.settings.FabricReturn)
}

func (w *worker) write(conn PacketConn, b []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		counters.sendErrors.Inc()
	}
}

// sendInner sends an inner packet that this host created.
func (d *Daemon) sendInner(inner []byte, to netip.AddrPort) {
	if _, err := d.gue.WriteToUDPAddrPort(inner, to); err != nil {
		counters.sendErrors.Inc()
	}
}

func isClosed(err error) bool { return errors.Is(err, errClosed) }

// countReply counts a reply or reset of a backend server as passive evidence.
func countReply(b *route.Backend, info *packet.Info) {
	if b.Traffic == nil {
		return
	}
	if info.RST() {
		b.Traffic.Resets.Add(1)
		return
	}
	b.Traffic.Replies.Add(1)
}

func countOpened(b *route.Backend, info *packet.Info) {
	if info.SYN() && b.Traffic != nil {
		b.Traffic.Opened.Add(1)
	}
}
