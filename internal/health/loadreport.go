package health

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Limits of load reports. Larger values are rejected as malformed.
const (
	MaxLoadReportBytes = 4 << 10
	maxServiceName     = 253
	maxCount           = 1 << 31
	maxUptimeMillis    = 100 * 365 * 24 * 3600 * 1000
)

// ErrMalformed is returned for load reports and messages that are malformed.
var ErrMalformed = errors.New("malformed load report")

// LoadReport is the response of a backend server's load URL.
type LoadReport struct {
	Service      string `json:"service"`
	Instance     uint64 `json:"instance"`
	UptimeMillis int64  `json:"uptime_ms"`
	Connections  int    `json:"connections"`
	SlotsBusy    int    `json:"slots_busy"`
	Draining     bool   `json:"draining"`
	Shedding     bool   `json:"shedding"`
}

// ParseLoadReport decodes and checks a load report. Unknown fields are
// ignored, because backend servers may publish more than nutmeglatch reads.
func ParseLoadReport(raw []byte) (LoadReport, error) {
	if len(raw) > MaxLoadReportBytes {
		return LoadReport{}, errors.Wrapf(ErrMalformed, "%d bytes, allowed %d", len(raw), MaxLoadReportBytes)
	}
	var r LoadReport
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&r); err != nil {
		return LoadReport{}, errors.Mark(errors.Wrap(err, "load report"), ErrMalformed)
	}
	if _, err := dec.Token(); err != io.EOF {
		return LoadReport{}, errors.Wrap(ErrMalformed, "data after the JSON object")
	}
	if err := r.check(); err != nil {
		return LoadReport{}, err
	}
	return r, nil
}

func (r *LoadReport) check() error {
	switch {
	case r.Service == "" || len(r.Service) > maxServiceName:
		return errors.Wrapf(ErrMalformed, "service name of %d bytes, allowed 1 to %d", len(r.Service), maxServiceName)
	case r.UptimeMillis < 0 || r.UptimeMillis > maxUptimeMillis:
		return errors.Wrapf(ErrMalformed, "uptime_ms %d, allowed 0 to %d", r.UptimeMillis, int64(maxUptimeMillis))
	case r.Connections < 0 || r.Connections > maxCount:
		return errors.Wrapf(ErrMalformed, "connections %d, allowed 0 to %d", r.Connections, maxCount)
	case r.SlotsBusy < 0 || r.SlotsBusy > maxCount:
		return errors.Wrapf(ErrMalformed, "slots_busy %d, allowed 0 to %d", r.SlotsBusy, maxCount)
	}
	return nil
}
