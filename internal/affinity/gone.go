package affinity

import "time"

const (
	// unknownTokenGrace is how long a token that is in no view may belong to a backend server that has just been registered,
	// or to one whose entry the store has lost for a while. Only time during which the store confirms the registry counts.
	unknownTokenGrace = 2500 * time.Millisecond
	// maxUnknownTokens is the maximum number of unknown tokens kept, which bounds the memory that forged tokens can occupy.
	maxUnknownTokens = 1024
	// maxUnknownFlows is the maximum number of flows with unknown tokens kept, for the same reason.
	maxUnknownFlows = 8192
	// unknownFlowRetention is how long such a flow is kept after its last packet. Callers that wait repeat theirs sooner.
	unknownFlowRetention = 10 * time.Second
)

// resolveServer returns the backend server of a packet other than an opening one, or nil and the verdict if there is none.
func (r *Router) resolveServer(p *Packet, f *flow, now time.Duration) (*server, Verdict) {
	if p.Token == 0 {
		if f != nil {
			return f.server, Verdict{}
		}
		return nil, Verdict{Action: Drop, Reason: NoToken}
	}
	if s := r.byToken[p.Token]; s != nil {
		return s, Verdict{}
	}
	first, seen := r.unknownTokens[p.Token]
	confirmed := r.recordUnknownFlow(p.Key(), now)
	switch {
	case r.view.UnreadableTokens[p.Token]:
	case !seen && len(r.unknownTokens) < maxUnknownTokens:
		r.unknownTokens[p.Token] = now
	case seen && confirmed && r.fleet.confirmedSince(first) >= unknownTokenGrace:
		delete(r.unknownFlows, p.Key())
		return nil, Verdict{Action: Reject, Reason: TokenNeverListed}
	}
	return nil, Verdict{Action: Drop, Reason: UnknownToken}
}

// unknownFlow is a flow whose token is in no view.
type unknownFlow struct{ firstAt, lastAt time.Duration } // its packets

// recordUnknownFlow records a packet of a flow whose token is unknown. It reports whether the store has confirmed the registry
// since the first one. Before that, another host may have opened the flow at a backend server that this one has not heard of,
// however long the token has been unknown.
func (r *Router) recordUnknownFlow(key FlowKey, now time.Duration) bool {
	f, seen := r.unknownFlows[key]
	if !seen {
		f.firstAt = now
	}
	f.lastAt = now
	if seen || len(r.unknownFlows) < maxUnknownFlows {
		r.unknownFlows[key] = f
	}
	return seen && f.firstAt < r.fleet.ConfirmedAt
}

// verdictOfGone returns the verdict for a packet of a flow whose backend server has gone: a reset, unless the server may be back.
func (r *Router) verdictOfGone(key FlowKey, f *flow, s *server, p *Packet, now time.Duration) Verdict {
	f = r.trackFlow(key, f, s, p, now)
	if r.openedSinceConfirmation(f) {
		return Verdict{Action: Drop, Reason: UnknownToken, ServerID: s.ID}
	}
	return r.rejectLost(key, f, s, BackendServerGone, now)
}

// openedSinceConfirmation reports whether another host may have opened the flow after the return of its backend server, which
// this host has not heard of: the flow came here after the server had left, and the store has not confirmed since that the server
// is missing.
func (r *Router) openedSinceConfirmation(f *flow) bool {
	return f.openedAt > f.server.removedAt && f.openedAt >= r.fleet.ConfirmedAt
}

// canResetFlows reports whether a server left the view for good, so that its flows can be reset.
func (r *Router) canResetFlows(s *server) bool {
	return !s.present && (s.drained || r.fleet.confirmedSince(s.removedAt) >= removalGrace)
}

// dropServer deletes a server whose retention has ended.
func (r *Router) dropServer(s *server) {
	s.work.SetService(nil, nil)
	delete(r.removed, s.ID)
	delete(r.servers, s.ID)
	if r.tokenUsers[s.token]--; r.tokenUsers[s.token] == 0 {
		delete(r.tokenUsers, s.token)
	}
	if r.byToken[s.token] == s {
		delete(r.byToken, s.token)
	}
}
