package admin

// TokenStatus is the status of an entry host that assigns flows by token.
type TokenStatus struct {
	Affinity      string           `json:"affinity"`
	Host          string           `json:"host"`
	Version       string           `json:"version"`
	DataCentre    string           `json:"data_centre"`
	UptimeMS      int64            `json:"uptime_ms"`
	Ready         bool             `json:"ready"`
	Era           uint64           `json:"era"` // number of times that the store came back from an older copy; 0: not stated
	Revision      uint64           `json:"revision"`
	RevisionFrom  string           `json:"revision_from"` // "store", or the address of the host that sent the revision
	ConfigVersion uint64           `json:"config_version"`
	AgeMS         int64            `json:"age_ms"` // time since the registry was confirmed to match the store; -1: never
	StoreAnswers  bool             `json:"store_answers"`
	Reader        bool             `json:"reader"`        // this host is the reader of the store for the other hosts
	ReaderHost    string           `json:"reader_host"`   // reader of the store by the information of this host
	ReaderAgeMS   int64            `json:"reader_age_ms"` // age of the information about ReaderHost
	Withdrawal    WithdrawalStatus `json:"withdrawal"`
	Hosts         []string         `json:"hosts"`
	Unreachable   []string         `json:"unreachable_data_centres"`
	Flows         int              `json:"flows"` // entries in the flow table; the host forwards other flows too
	Routes        int              `json:"routes"`
	Places        []PlaceStatus    `json:"places"`
	Avoided       []AvoidedStatus  `json:"avoided"`
	Limits        []LimitStatus    `json:"limits,omitempty"` // of services whose admission is switched on and that have requests
}

// LimitStatus is the limit of a host for the requests of a service.
type LimitStatus struct {
	Service string `json:"service"`
	Binds   bool   `json:"binds"` // the service is full: new flows beyond the limit wait or are rejected
	Limit   int    `json:"limit"` // 0: no backend server is ready
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// Available reports whether the host accepts new traffic.
func (s TokenStatus) Available() bool { return s.Ready }

// WithdrawalStatus states whether the host has withdrawn from the routers because its data centre cannot serve its callers,
// with the figures of the last decision.
type WithdrawalStatus struct {
	Withdrawn        bool    `json:"withdrawn"`
	ForMS            int64   `json:"for_ms"`             // time since the host withdrew; 0: it has not
	MinimumMS        int64   `json:"minimum_ms"`         // minimum length of the present or last withdrawal
	Yielding         bool    `json:"yielding"`           // most hosts of the data centre are silent
	Vote             bool    `json:"vote"`               // this host votes for the withdrawal
	Reason           string  `json:"reason,omitempty"`   // of the vote
	Demand           float64 `json:"demand"`             // requests of the last seconds, or before the withdrawal
	Served           float64 `json:"served"`             // of those, the ones that have a usable backend server
	Fallback         string  `json:"fallback,omitempty"` // data centre that could serve most of the others
	FallbackRequests float64 `json:"fallback_requests"`  // requests that it could serve
	VotesFor         int     `json:"votes_for"`          // of other hosts of the data centre
	VotesHeard       int     `json:"votes_heard"`        // hosts whose vote is known
	HostsKnown       int     `json:"hosts_known"`        // other hosts of the data centre
}

// PlaceStatus sums the backend servers of a service in a data centre.
type PlaceStatus struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Servers    int    `json:"servers"`
	Avoided    int    `json:"avoided"`
	Slots      int    `json:"slots"`
	Flows      int    `json:"flows"`       // in the flow table of this host
	OtherFlows int    `json:"other_flows"` // reported by other hosts
}

// AvoidedStatus is a backend server that gets no new flows, or gets them only if there is no other candidate.
type AvoidedStatus struct {
	Server     string `json:"server"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Why        string `json:"why"`
	Cause      string `json:"cause,omitempty"` // evidence that it is suspect or silent
	ForMS      int64  `json:"for_ms"`          // how long it stays avoided without new evidence; 0: until its entry changes
	Flows      int    `json:"flows"`
	SignMS     int64  `json:"since_sign_ms"` // time since the last answer observed; -1: none
}
