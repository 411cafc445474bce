package admin

// TokenStatus is the state of an entry host that keeps flows by token, as operators see it.
type TokenStatus struct {
	Affinity      string          `json:"affinity"`
	Host          string          `json:"host"`
	Version       string          `json:"version"`
	DataCentre    string          `json:"data_centre"`
	UptimeMS      int64           `json:"uptime_ms"`
	Ready         bool            `json:"ready"`
	Revision      uint64          `json:"revision"`
	RevisionFrom  string          `json:"revision_from"` // "store", or the host that told
	ConfigVersion uint64          `json:"config_version"`
	AgeMS         int64           `json:"age_ms"` // since the store confirmed the revision; -1: never
	StoreAnswers  bool            `json:"store_answers"`
	Reader        bool            `json:"reader"`      // this host reads the store for the others
	ReaderHost    string          `json:"reader_host"` // that reads, as far as this host knows
	ReaderAgeMS   int64           `json:"reader_age_ms"`
	Hosts         []string        `json:"hosts"`
	Unreachable   []string        `json:"unreachable_data_centres"`
	Flows         int             `json:"flows"` // remembered; hosts forward others as well
	Routes        int             `json:"routes"`
	Places        []PlaceStatus   `json:"places"`
	Avoided       []AvoidedStatus `json:"avoided"`
}

// Available reports whether the host takes new traffic.
func (s TokenStatus) Available() bool { return s.Ready }

// PlaceStatus sums the backend servers of a service in a data centre.
type PlaceStatus struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Servers    int    `json:"servers"`
	Avoided    int    `json:"avoided"`
	Slots      int    `json:"slots"`
	Flows      int    `json:"flows"`       // remembered by this host
	OtherFlows int    `json:"other_flows"` // that other hosts report
}

// AvoidedStatus is a backend server that gets no new flows, or only when no other is left.
type AvoidedStatus struct {
	Server     string `json:"server"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Why        string `json:"why"`
	Cause      string `json:"cause,omitempty"` // evidence for a doubt
	ForMS      int64  `json:"for_ms"`          // without new evidence; 0: until its entry changes
	Flows      int    `json:"flows"`
	SignMS     int64  `json:"since_sign_ms"` // since the last sign of life; -1: none seen
}
