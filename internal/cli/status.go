package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/admin"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// hostStatus is the status of a host that keeps flows by owners or by token.
type hostStatus struct {
	owners    admin.Status
	token     admin.TokenStatus
	isByToken bool
}

// UnmarshalJSON decodes the status type of the affinity method that the field "affinity" names. Hosts of versions without
// that field keep flows by owners.
func (s *hostStatus) UnmarshalJSON(b []byte) error {
	var kind struct {
		Affinity string `json:"affinity"`
	}
	if err := json.Unmarshal(b, &kind); err != nil {
		return errors.Wrap(err, "status")
	}
	s.isByToken = kind.Affinity == admin.ByToken
	if s.isByToken {
		return errors.Wrap(json.Unmarshal(b, &s.token), "status")
	}
	return errors.Wrap(json.Unmarshal(b, &s.owners), "status")
}

func (t *tool) printStatus(s *hostStatus, asJSON bool) error {
	switch {
	case asJSON && s.isByToken:
		return t.printJSON(s.token)
	case asJSON:
		return t.printJSON(s.owners)
	case s.isByToken:
		return printTokenStatus(t.stdout, &s.token)
	}
	return printOwnersStatus(t.stdout, &s.owners)
}

func printTokenStatus(w io.Writer, st *admin.TokenStatus) error {
	fmt.Fprintf(w, "entry host %s in %s, version %s, up %s, flows by token\n", st.Host, st.DataCentre, st.Version, milliseconds(st.UptimeMS))
	fmt.Fprintf(w, "ready %t, flows remembered %d, routes %d, configuration %d\n", st.Ready, st.Flows, st.Routes, st.ConfigVersion)
	age := "never confirmed by the store"
	if st.AgeMS >= 0 {
		age = "confirmed " + milliseconds(st.AgeMS) + " ago"
	}
	fmt.Fprintf(w, "revision %v from %s, %s; store answers %t\n", registry.Version{Era: st.Era, Revision: st.Revision}, st.RevisionFrom, age, st.StoreAnswers)
	reader := "this host"
	if !st.Reader {
		reader = fmt.Sprintf("%s, last contact %s ago", st.ReaderHost, milliseconds(st.ReaderAgeMS))
	}
	fmt.Fprintf(w, "reader of the store: %s\n", reader)
	unreachable := "none"
	if len(st.Unreachable) > 0 {
		unreachable = strings.Join(st.Unreachable, ", ")
	}
	fmt.Fprintf(w, "other hosts: %d; data centres out of reach: %s\n", len(st.Hosts), unreachable)
	fmt.Fprintln(w, withdrawalText(&st.Withdrawal))
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "\nSERVICE\tDATA CENTRE\tSERVERS\tAVOIDED\tSLOTS\tFLOWS HERE\tFLOWS OF OTHER HOSTS")
	for _, p := range st.Places {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", p.Service, p.DataCentre, p.Servers, p.Avoided, p.Slots, p.Flows, p.OtherFlows)
	}
	if len(st.Limits) > 0 {
		fmt.Fprintln(tw, "\nSERVICE\tLIMIT\tBINDS\tRUNNING HERE\tWAITING")
	}
	for _, l := range st.Limits {
		fmt.Fprintf(tw, "%s\t%d\t%t\t%d\t%d\n", l.Service, l.Limit, l.Binds, l.Running, l.Waiting)
	}
	if len(st.Avoided) > 0 {
		fmt.Fprintln(tw, "\nAVOIDED SERVER\tSERVICE\tDATA CENTRE\tWHY\tFLOWS HERE")
	}
	for _, a := range st.Avoided {
		why := a.Why
		if a.Cause != "" {
			why += " (" + a.Cause + ")"
		}
		if a.ForMS > 0 {
			why += " for " + milliseconds(a.ForMS)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\n", a.Server, a.Service, a.DataCentre, why, a.Flows)
	}
	return tw.Flush()
}

// withdrawalText describes whether the host has withdrawn from the routers and why.
func withdrawalText(w *admin.WithdrawalStatus) string {
	text := "not withdrawn from the routers"
	switch {
	case w.Withdrawn:
		text = fmt.Sprintf("withdrawn from the routers for %s, at least %s", milliseconds(w.ForMS), milliseconds(w.MinimumMS))
	case w.Yielding:
		text = "yielding: most hosts of the data centre are silent"
	}
	if w.Vote {
		text += fmt.Sprintf("; votes for it: %s, %.1f of %.1f requests served, %s could take %.1f", w.Reason, w.Served, w.Demand, w.Fallback, w.FallbackRequests)
	}
	return text + fmt.Sprintf("; %d of %d other hosts heard vote to withdraw, of %d in the data centre", w.VotesFor, w.VotesHeard, w.HostsKnown)
}

func milliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func printOwnersStatus(w io.Writer, st *admin.Status) error {
	fmt.Fprintf(w, "entry host %s in %s (%s), version %s, up %s\n", st.ID, st.DataCentre, st.Region, st.Version, milliseconds(st.UptimeMS))
	fmt.Fprintf(w, "serving %t, leaving %t, majority %t, flows %d, platform %s\n", st.Serving, st.Leaving, st.Majority, st.Flows, st.PlatformRead)
	if len(st.NoQuorum) > 0 {
		fmt.Fprintf(w, "services without a quorum: %s\n", strings.Join(st.NoQuorum, ", "))
	}
	out := "none"
	if len(st.DataCentres.Out) > 0 {
		out = strings.Join(st.DataCentres.Out, ", ")
	}
	fmt.Fprintf(w, "data centres out (version %d): %s\n", st.DataCentres.Version, out)
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "\nENTRY HOST\tDATA CENTRE\tSTATE")
	for _, h := range st.Hosts {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", h.ID, h.DataCentre, h.State)
	}
	fmt.Fprintln(tw, "\nSERVICE\tVERSION\tBACKEND SERVER\tDATA CENTRE\tVERDICT\tWEIGHT\tFLOWS")
	for _, s := range st.Services {
		for _, b := range s.Backends {
			fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%s\t%.2f\t%d\n", s.Name, s.Version, b.Addr, b.DataCentre, b.Verdict, b.Weight, b.Flows)
		}
	}
	if len(st.Refusals) > 0 {
		fmt.Fprintln(tw, "\nREFUSED VALUE\tVERSION\tREASON\tDETAIL")
		for _, r := range st.Refusals {
			fmt.Fprintf(tw, "%s\t%d\t%s\t%s\n", r.Key, r.Version, r.Reason, r.Detail)
		}
	}
	return tw.Flush()
}
