package route

// Reason says why a packet was dropped or a caller was reset.
type Reason uint8

// Reasons of dropped packets and reset callers.
const (
	ReasonNone Reason = iota
	ReasonNotServing
	ReasonNotListed // this host has no peer address, so no answer could reach it
	ReasonNoService
	ReasonNoBackend
	ReasonNoCapacity
	ReasonTableFull
	ReasonHopLimit
	ReasonNotOwner
	ReasonBadKind
	ReasonUnknownBackend
	ReasonForeignBackend
	ReasonBackendRemoved
	ReasonServiceChanged
	ReasonAddressReassigned
	ReasonDataCentreOut
	ReasonBackendUnusable
	ReasonInstanceReplaced
	ReasonNoCandidate
	ReasonNoChoice
	ReasonGuessReset
	ReasonOtherBackendReset
	ReasonUnknownFlowReset
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonNone:              "none",
	ReasonNotServing:        "not_serving",
	ReasonNotListed:         "not_listed",
	ReasonNoService:         "no_service",
	ReasonNoBackend:         "no_backend",
	ReasonNoCapacity:        "no_capacity",
	ReasonTableFull:         "table_full",
	ReasonHopLimit:          "hop_limit",
	ReasonNotOwner:          "not_owner",
	ReasonBadKind:           "bad_kind",
	ReasonUnknownBackend:    "unknown_backend",
	ReasonForeignBackend:    "foreign_backend",
	ReasonBackendRemoved:    "backend_removed",
	ReasonServiceChanged:    "service_changed",
	ReasonAddressReassigned: "address_reassigned",
	ReasonDataCentreOut:     "data_centre_out",
	ReasonBackendUnusable:   "backend_unusable",
	ReasonInstanceReplaced:  "instance_replaced",
	ReasonNoCandidate:       "no_candidate",
	ReasonNoChoice:          "no_choice",
	ReasonGuessReset:        "guess_reset",
	ReasonOtherBackendReset: "other_backend_reset",
	ReasonUnknownFlowReset:  "unknown_flow_reset",
}

// String returns the name that metrics use.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}

// Reasons returns every reason, for registering one counter each.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Refusal says why no backend server was chosen for a new flow.
type Refusal uint8

// Refusals of new flows.
const (
	Admitted         Refusal = iota
	RefusedNoBackend         // no backend server may receive new flows
	RefusedCapacity          // this host's budgets for all of them are exhausted
)

// String returns the name that metrics use.
func (r Refusal) String() string { return r.reason().String() }

func (r Refusal) reason() Reason {
	switch r {
	case Admitted:
		return ReasonNone
	case RefusedCapacity:
		return ReasonNoCapacity
	default:
		return ReasonNoBackend
	}
}
