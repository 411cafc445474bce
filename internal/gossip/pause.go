package gossip

import "time"

// Resumed records that this host was paused until now. It received nothing meanwhile, so the pause is no silence of the
// others: all times of their messages are moved by it.
func (m *Members) Resumed(pause time.Duration) {
	for _, h := range m.members {
		if h.lastMessageAt >= 0 {
			h.lastMessageAt += pause
		}
		if h.voteAt >= 0 {
			h.voteAt += pause
		}
	}
	for dataCentre := range m.lastContact {
		m.lastContact[dataCentre] += pause
	}
	for dataCentre := range m.firstHandContact {
		m.firstHandContact[dataCentre] += pause
	}
	for dataCentre := range m.secondHandContact {
		m.secondHandContact[dataCentre] += pause
	}
	if m.lastPeerMessageAt >= 0 {
		m.lastPeerMessageAt += pause
	}
	m.readerSeenAt += pause
}
