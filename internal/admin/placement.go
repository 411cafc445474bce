package admin

// Placement states where a new flow would go now, by the state of one host. Nothing is sent.
type Placement struct {
	Host       string      `json:"host"`
	DataCentre string      `json:"data_centre"`
	Ready      bool        `json:"ready"`    // the routers send callers' packets to this host
	Decision   string      `json:"decision"` // forward, wait, reject or drop
	Reason     string      `json:"reason"`
	Route      string      `json:"route,omitempty"`
	Service    string      `json:"service,omitempty"`
	Server     string      `json:"backend_server,omitempty"`
	Full       bool        `json:"service_full"` // the limit for the service binds at this host
	Candidates []Candidate `json:"candidates,omitempty"`
	Notes      []string    `json:"notes,omitempty"` // what else decides
}

// Candidate is a backend server that a new flow could go to. Candidates are listed in the order of the choice.
type Candidate struct {
	Server      string  `json:"backend_server"`
	Service     string  `json:"service"`
	DataCentre  string  `json:"data_centre"`
	Preference  string  `json:"preference"`
	Why         string  `json:"why"` // eligible, or why it gets no new flows or only as a last resort
	Cause       string  `json:"cause,omitempty"`
	Slots       int     `json:"slots"`
	Flows       int     `json:"flows"`         // of this host
	Running     int     `json:"running"`       // requests of this host
	Work        float64 `json:"expected_work"` // requests that it still has to do, as far as this host knows
	Speed       float64 `json:"speed"`         // relative to the usual one; 0: unknown
	Samples     int     `json:"samples"`
	SampleAgeMS int64   `json:"sample_age_ms"` // -1: none
}
