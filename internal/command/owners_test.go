package command

import (
	"encoding/json"
	"testing"
	"time"
)

// TestTransferRateLimit guards against a burst of control traffic when owners
// change, and against a bucket that counts as complete before its claims have
// arrived.
func TestTransferRateLimit(t *testing.T) {
	const claims = 150
	p := newPair(DefaultRetention, 1000)
	now := testStart
	for now.Sub(testStart) < DefaultRetention+time.Second {
		now = now.Add(500 * time.Millisecond)
		p.primary.SetConditions(now, Conditions{Majority: true, Serving: true})
		p.secondary.SetConditions(now, Conditions{Majority: true, Serving: true})
	}
	for i := range claims {
		p.command(now, i, "done")
	}
	next := New(Config{Self: "c"}, now)
	next.SetConditions(now, Conditions{Majority: true, Serving: true})
	next.SetOwners(now, testService, allBuckets(bc))
	p.secondary.SetOwners(now, testService, allBuckets(bc))
	changed, sent := now, 0
	for next.services[testService].coveredSince[255].Equal(changed) && now.Sub(changed) < DefaultRetention {
		now = now.Add(100 * time.Millisecond)
		next.SetConditions(now, Conditions{Majority: true, Serving: true})
		for _, o := range p.secondary.Expire(now) {
			m := o.(Transfer)
			raw, _ := json.Marshal(m.Message)
			sent += len(raw)
			if limit := DefaultTransferRate * (1 + now.Sub(changed).Seconds()); float64(sent) > limit+2*transferOverhead {
				t.Fatalf("%d bytes after %s, allowed: %.0f", sent, now.Sub(changed), limit)
			}
			reply, _ := next.Transfer(now, "b", m.Message)
			p.secondary.TransferResult(now, m.Seq, reply, CallDone)
		}
	}
	if n, _ := next.Claims(); n != claims {
		t.Errorf("%d claims arrived, want %d", n, claims)
	}
	if !next.complete(now, testService, 7) || !next.complete(now, testService, 255) {
		t.Errorf("the new owner is not complete after %s and %d bytes", now.Sub(changed), sent)
	}
	if p.secondary.InProgress() != 0 {
		t.Errorf("%d transfers left", p.secondary.InProgress())
	}
}

// TestBucketCompleteness guards against a host that starts non-idempotent
// commands although it may have missed claims.
func TestBucketCompleteness(t *testing.T) {
	healthy := Conditions{Majority: true, Serving: true}
	tests := []struct {
		name string
		run  func(s *State, at func(time.Duration) time.Time)
		want bool
	}{
		{"no fault", func(*State, func(time.Duration) time.Time) {}, true},
		{"other owner changed", func(s *State, at func(time.Duration) time.Time) {
			s.SetOwners(at(20*time.Second), testService, allBuckets(Owners{"c", "a"}))
		}, true},
		{"majority lost for a moment", func(s *State, at func(time.Duration) time.Time) {
			s.SetConditions(at(20*time.Second), Conditions{Serving: true})
		}, false},
		{"majority lost for less than the grace period", func(s *State, at func(time.Duration) time.Time) {
			s.SetMajorityGrace(time.Second)
			s.SetConditions(at(20*time.Second).Add(900*time.Millisecond), Conditions{Serving: true})
		}, true},
		{"majority lost for the grace period", func(s *State, at func(time.Duration) time.Time) {
			s.SetMajorityGrace(time.Second)
			s.SetConditions(at(20*time.Second).Add(500*time.Millisecond), Conditions{Serving: true})
			s.SetConditions(s.last.Add(500*time.Millisecond), Conditions{Serving: true})
		}, false},
		{"quorum of another service lost", func(s *State, at func(time.Duration) time.Time) {
			s.SetConditions(at(20*time.Second), Conditions{Serving: true, Quorum: func(service string) bool { return service == testService }})
		}, true},
		{"quorum lost for a moment", func(s *State, at func(time.Duration) time.Time) {
			s.SetConditions(at(20*time.Second), Conditions{Serving: true, Quorum: func(service string) bool { return service != testService }})
		}, false},
		{"declared dead while the majority is verified", func(s *State, at func(time.Duration) time.Time) {
			s.SetMajorityGrace(time.Second)
			s.SetConditions(at(20*time.Second), Conditions{Majority: true})
		}, false},
		{"not an owner for a moment", func(s *State, at func(time.Duration) time.Time) {
			s.SetOwners(at(20*time.Second), testService, allBuckets(bc))
			s.SetOwners(at(20*time.Second), testService, allBuckets(ab))
		}, false},
		{"paused", func(s *State, at func(time.Duration) time.Time) { s.Expire(s.last.Add(2 * time.Second)) }, false},
		{"message of an earlier generation", func(s *State, at func(time.Duration) time.Time) {
			old := s.services[testService].generation
			s.SetConditions(at(20*time.Second), Conditions{Serving: true})
			s.SetConditions(at(20*time.Second), healthy)
			s.Transfer(at(20*time.Second), "b", TransferRequest{Service: testService, Generation: old, Done: []uint8{7}, CoveredMS: 30000})
		}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := New(Config{Self: "a"}, testStart)
			at := func(d time.Duration) time.Time {
				for s.last.Before(testStart.Add(d)) {
					s.SetConditions(s.last.Add(500*time.Millisecond), healthy)
				}
				return s.last
			}
			s.SetConditions(testStart, healthy)
			s.SetOwners(testStart, testService, allBuckets(ab))
			tc.run(s, at)
			if got := s.complete(at(31*time.Second), testService, 7); got != tc.want {
				t.Errorf("complete %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRepeatsUseBoundedMemory guards against queue entries that accumulate while
// a caller keeps repeating an idempotent request whose outcome is unknown.
func TestRepeatsUseBoundedMemory(t *testing.T) {
	s := newSim(t, "a", "b", "c")
	s.warmUp(ab)
	dropMessages("backend", 1<<30)(s)
	for i := range 200 {
		requestOne("a", "status")(s)
		s.runTo(time.Duration(i)*6*time.Second + 2*DefaultRetention)
	}
	table := &s.hosts["a"].state.table
	if n, limit := len(table.expiryQueue)+len(table.unsettled), 10; n > limit {
		t.Errorf("%d queue entries, allowed: %d", n, limit)
	}
}

// TestRetryBudget guards against retries that multiply the load of a service
// whose backend servers all reject commands.
func TestRetryBudget(t *testing.T) {
	s := newSim(t, "a", "b", "c")
	s.warmUp(ab)
	const requests = 1000
	retries := 0
	for i := range requests {
		req := Request{ID: string(rune('0'+i%10)) + string(rune('0'+i/10)), Method: "status"}
		in := testInput(candidates(s))
		in.Idempotent = true
		run := s.hosts["a"].state.Request(s.now, in, req)[0].(Run)
		for _, o := range s.hosts["a"].state.RunResult(s.now, "c", run.Ref, RunReply{Outcome: RunNotRun, Reason: ReasonShed}, CallDone) {
			if _, ok := o.(Run); ok {
				retries++
			}
		}
	}
	if limit := retryBurst + requests*retryShare; retries > int(limit) || retries < requests/10 {
		t.Errorf("%d retries of %d requests, allowed: %.0f", retries, requests, limit)
	}
}
