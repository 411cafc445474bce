package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unreachableAfter is the time without a message from any host of a data centre after which it counts as unreachable.
	unreachableAfter = 900 * time.Millisecond
	// unreachableAfterSampled is the same in a large fleet. It is slightly longer than three rounds of messages, in which the
	// contact of any host of the own data centre has reached all of them.
	unreachableAfterSampled = 800 * time.Millisecond
	// unreachableAfterSparse is the same for a data centre of a large fleet whose hosts send few messages to each other one.
	unreachableAfterSparse = 1800 * time.Millisecond
	// unreachableUnanswered is the same for a data centre whose backend servers answer no opening packets either.
	unreachableUnanswered = 500 * time.Millisecond
	// askBefore is the time before a data centre would count as unreachable at which a host of a large fleet asks others of
	// its own data centre for later contacts. A host may by chance receive few messages for
	// three rounds.
	askBefore = 250 * time.Millisecond
	// askInterval is the time between two such questions, which go to different hosts.
	askInterval = 100 * time.Millisecond
	// minGain is the difference between two contact times from which the later one is worth an answer.
	minGain = 100 * time.Millisecond
	// minContacts is the number of messages a round from a data centre to the own one below which unreachableAfterSparse
	// applies, and minContactsPerHost the same for each host.
	minContacts        = 4
	minContactsPerHost = 0.4
)

// mergeContactAges records the contact times reported by another host of the own data centre. Hosts report contacts of their
// own, and apart from these the contacts that were reported to them as such. The latter are never passed on, so that a time
// can't circulate between hosts.
func (m *Members) mergeContactAges(msg *Message, now time.Duration) {
	if msg.From.DataCentre != m.self.DataCentre {
		return
	}
	mergeContacts(m.firstHandContact, msg.LastContact, now)
	mergeContacts(m.secondHandContact, msg.SecondHand, now)
}

func mergeContacts(known map[uint32]time.Duration, reported []LastContact, now time.Duration) {
	if len(known)+len(reported) > 2*maxDataCentres {
		return
	}
	for _, c := range reported {
		at := now - time.Duration(c.AgeMs)*time.Millisecond
		known[c.DataCentre] = max(known[c.DataCentre], at)
	}
}

// ContactAges returns the time since this host last received a message from each other data centre, to be sent to hosts of
// its own data centre. It returns nil in a small fleet, where each host receives messages from all others.
func (m *Members) ContactAges(now time.Duration) []LastContact {
	if !m.sampled() {
		return nil
	}
	var lastContact []LastContact
	for dataCentre, at := range m.lastContact {
		if dataCentre != m.self.DataCentre && len(lastContact) < maxDataCentres {
			lastContact = append(lastContact, LastContact{DataCentre: digest(dataCentre), AgeMs: (now - at).Milliseconds()})
		}
	}
	return lastContact
}

// SecondHandAges returns the contact times that other hosts of the own data centre have reported as their own, where they
// are later than those of this host by at least minGain.
func (m *Members) SecondHandAges(now time.Duration) []LastContact {
	if !m.sampled() {
		return nil
	}
	var secondHand []LastContact
	for dataCentre, own := range m.lastContact {
		key := digest(dataCentre)
		if at := m.firstHandContact[key]; dataCentre != m.self.DataCentre && at > own+minGain && len(secondHand) < maxDataCentres {
			secondHand = append(secondHand, LastContact{DataCentre: key, AgeMs: (now - at).Milliseconds()})
		}
	}
	return secondHand
}

func digest(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetUnanswered sets the data centres of which no backend server answers the opening packets of this host's callers.
func (m *Members) SetUnanswered(dataCentres []string) {
	m.unanswered = map[string]bool{}
	for _, dataCentre := range dataCentres {
		m.unanswered[dataCentre] = true
	}
}

// Unreachable returns the other data centres from which messages were received before, but neither this host nor a host
// of its own data centre that reports contact times has received one recently. A single host of a large fleet often
// receives nothing from a data centre for a second. The result is empty while this host knows less than half of the
// fleet, as after its start, because its own evidence is insufficient then.
func (m *Members) Unreachable(now time.Duration) map[string]bool {
	out := map[string]bool{}
	if 2*m.NumKnown() < m.Size(now) {
		return out
	}
	for dataCentre, at := range m.lastContact {
		last := max(at, m.heardContact(digest(dataCentre)))
		if dataCentre != m.self.DataCentre && now-last > m.contactTimeout(dataCentre) {
			out[dataCentre] = true
		}
	}
	return out
}

// HeardOthers reports whether this host has received a message from a host of another data centre since its start.
func (m *Members) HeardOthers() bool {
	for dataCentre := range m.lastContact {
		if dataCentre != m.self.DataCentre {
			return true
		}
	}
	return false
}

// heardContact returns the last contact with a data centre that other hosts of the own data centre have reported.
func (m *Members) heardContact(key uint32) time.Duration {
	return max(m.firstHandContact[key], m.secondHandContact[key])
}

// AskForContacts reports whether this host should send its contact ages to some hosts of its data centre at once, because a
// data centre is about to count as unreachable. Hosts with later contacts answer, see ShouldAnswer.
func (m *Members) AskForContacts(now time.Duration) bool {
	if !m.sampled() || now-m.askedAt < askInterval || 2*m.NumKnown() < m.Size(now) {
		return false
	}
	for dataCentre, at := range m.lastContact {
		silence := now - max(at, m.heardContact(digest(dataCentre)))
		if dataCentre == m.self.DataCentre || silence < unreachableUnanswered {
			continue
		}
		if timeout := m.contactTimeout(dataCentre); silence > timeout-askBefore && silence <= timeout {
			m.askedAt = now
			return true
		}
	}
	return false
}

// ShouldAnswer reports whether this host should answer a message that asks for news: it, or a host that reported to it, has
// had contact with a data centre later than the sender, or hosts of the own data centre vote for a withdrawal.
func (m *Members) ShouldAnswer(msg *Message, now time.Duration) bool {
	if !msg.Ask || msg.From.DataCentre != m.self.DataCentre {
		return false
	}
	if m.Votes(now).For > 0 {
		return true
	}
	ages := map[uint32]time.Duration{}
	for _, c := range slices.Concat(msg.LastContact, msg.SecondHand) {
		age := time.Duration(c.AgeMs) * time.Millisecond
		if known, ok := ages[c.DataCentre]; !ok || age < known {
			ages[c.DataCentre] = age
		}
	}
	for dataCentre, at := range m.lastContact {
		key := digest(dataCentre)
		age, ok := ages[key]
		own := now - max(at, m.firstHandContact[key]) // what an answer can contain
		if ok && age > m.contactTimeout(dataCentre)-askBefore && own+minGain < age {
			return true
		}
	}
	return false
}

// contactTimeout returns the time without contact after which a data centre counts as unreachable.
func (m *Members) contactTimeout(dataCentre string) time.Duration {
	switch {
	case m.unanswered[dataCentre]:
		return unreachableUnanswered
	case !m.sampled():
		return unreachableAfter
	}
	hosts := m.current().byDataCentre
	senders, own := hosts[dataCentre], hosts[m.self.DataCentre]+1
	perHost := float64(fanOut/2*senders) / float64(m.NumKnown()-senders)
	if perHost < minContactsPerHost || perHost*float64(own) < minContacts {
		return unreachableAfterSparse
	}
	return unreachableAfterSampled
}
