package health

import (
	"net/netip"
	"testing"
	"time"
)

func noneUncertain(netip.AddrPort) bool { return false }

// Guards against the slow poll interval for backend servers whose state may change
// soon, and against the fast one for all others, which would exceed the budget for
// control traffic.
func TestPollIntervals(t *testing.T) {
	drain := func(in *Input) { in.Services[0].Doc.DataCentres[0].BackendServers[0].Draining = true }
	same := func(time.Time, *LoadReport) {}
	none := func(time.Time, *State) {}
	tests := []struct {
		name    string
		servers int
		input   func(*Input)
		read    func(now time.Time, r *LoadReport)
		also    func(now time.Time, s *State)
		polls   int // of the first backend server in the last 30 of 60 s
	}{
		{"steady", 9, nil, same, none, 10},
		{"slots uncertain", 9, nil, same, none, 30},
		{"few backend servers", 8, nil, same, none, 30},
		{"cold", 9, nil, func(now time.Time, r *LoadReport) { r.UptimeMillis = now.Sub(at(20)).Milliseconds() }, none, 30},
		{"shedding", 9, nil, func(_ time.Time, r *LoadReport) { r.Shedding = true }, none, 30},
		{"draining by load report", 9, nil, func(_ time.Time, r *LoadReport) { r.Draining = true }, none, 30},
		{"draining by document", 9, drain, same, none, 30},
		{"another service", 9, nil, func(_ time.Time, r *LoadReport) { r.Service = "ledgerdesk" }, none, 30},
		{"silent", 9, nil, same, func(now time.Time, s *State) { s.Evidence(now, addr(1), Evidence{Unanswered: 1}) }, 30},
		{"polls fail", 9, nil, same, func(_ time.Time, s *State) { s.RecordPollFailure(addr(1)) }, 30},
		{"another instance seen by the other observer", 9, nil, same, func(_ time.Time, s *State) { s.backends[addr(1)].instance = 9 }, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState("host-a", tt.servers, tt.input)
			uncertain := func(a netip.AddrPort) bool { return tt.name == "slots uncertain" && a == addr(1) }
			first, polls := 0, 0
			for now := at(0); now.Before(at(60)); now = now.Add(250 * time.Millisecond) {
				for _, target := range s.DueTargets(now, uncertain) {
					r := report(time.Hour+now.Sub(start), nil)
					if target.Backend == addr(1) {
						tt.read(now, &r)
						first += boolToInt(now.Before(at(10)))
						polls += boolToInt(!now.Before(at(30)))
					}
					s.Report(now, target.Backend, r)
				}
				tt.also(now, s)
			}
			if polls != tt.polls || first < 10 {
				t.Errorf("%d polls in 30 s, want %d; %d in the first 10 s, want 10 or more", polls, tt.polls, first)
			}
		})
	}
}

// messagesEvery returns the reports of a host that sends them once per interval.
func messagesEvery(interval time.Duration, s *State, now time.Time) []Message {
	if now.Sub(start)%interval != 0 {
		return nil
	}
	return s.Messages(now)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against more than 5 s until owners learn that a backend server is
// draining, with one of its observers dead, polls that take as long as their
// timeout, and two lost report datagrams.
func TestDrainingReachesOwners(t *testing.T) {
	for offset := time.Duration(0); offset < slowPoll; offset += 100 * time.Millisecond {
		a, c := newState("host-a", 9, nil), newState("host-c", 9, nil)
		drains := at(30).Add(offset)
		type answer struct {
			at     time.Time
			addr   netip.AddrPort
			report LoadReport
		}
		var answers []answer
		lost := 0
		now := at(0)
		for ; !c.Verdicts(now)[addr(1)].Draining; now = now.Add(50 * time.Millisecond) {
			if now.Sub(drains) > 5*time.Second {
				t.Fatalf("draining at %v is not known to an owner after 5 s", drains.Sub(start))
			}
			if now.Sub(start)%(250*time.Millisecond) == 0 {
				for _, target := range a.DueTargets(now, noneUncertain) {
					r := report(time.Hour+now.Sub(start), func(r *LoadReport) { r.Draining = !now.Before(drains) })
					answers = append(answers, answer{now.Add(DefaultPollTimeout), target.Backend, r})
				}
			}
			for len(answers) > 0 && !answers[0].at.After(now) {
				a.Report(now, answers[0].addr, answers[0].report)
				answers = answers[1:]
			}
			for _, m := range messagesEvery(100*time.Millisecond, a, now) {
				if m.To == "host-c" && !now.Before(drains) && lost < 2 {
					lost++
					continue
				}
				if m.To == "host-c" {
					c.Receive(now, "host-a", m)
				}
				a.Delivered(m)
			}
		}
	}
}
