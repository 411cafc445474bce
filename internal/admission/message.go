package admission

import (
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/peer"
)

// Method is the JSON-RPC method of reports between entry hosts.
const Method = "admission.report"

// Limits of reports. Larger values are rejected as malformed.
const (
	MaxReportBytes = 256 << 10
	maxServiceName = 253
	maxFlows       = 1 << 30
)

// ErrMalformed is returned for reports that cannot be used.
var ErrMalformed = errors.New("malformed admission report")

// Report is the body of admission.report, from one host of an owner group to
// another. It carries the values that changed since the last report that the
// receiver acknowledged.
type Report struct {
	To      string `json:"-"`
	Call    bool   `json:"-"` // to be sent as a call, not as a datagram
	Service string `json:"s"`
	Epoch   uint32 `json:"e"`           // digest of document version and bucket counts
	Base    uint32 `json:"b,omitempty"` // epoch of the last view that every member confirmed
	Seq     uint64 `json:"n"`
	Ack     uint64 `json:"a,omitempty"` // newest report of the receiver that the sender accepted
	Flags   uint8  `json:"f,omitempty"`
	// Rows holds for each backend server its index in address order times 32
	// plus a mask of the fields that follow.
	Rows []int `json:"r,omitempty"`
}

// Flags of a report.
const (
	flagReady     = 1 << iota // the sender has released the buckets that it lost
	flagWantReply             // the sender waits for an acknowledgement
	flagFull                  // fields that are left out are 0
	flagMask      = 1<<iota - 1
)

// Fields of a row, in the order of their values.
const (
	fieldCharged   = iota
	fieldRequested // loan that the sender requests from the receiver
	fieldHeld      // loan from the receiver that the sender still holds
	fieldMoved     // charges that the sender handed over with the buckets that it lost
	fieldLoan      // loan to the receiver
	fieldLevel     // allowance of the backend server at which the loan was granted
	fieldCount

	rowIndexFactor = 32
	loanMask       = 1<<fieldLoan | 1<<fieldLevel
)

// maxIndex limits the number of backend servers of a service.
const maxIndex = 1 << 20

// fields are the values of one row.
type fields [fieldCount]int

// ParseReport decodes and checks the body of an admission.report.
func ParseReport(raw []byte) (Report, error) {
	var r Report
	if len(raw) > MaxReportBytes {
		return r, errors.Wrapf(ErrMalformed, "%d bytes, allowed %d", len(raw), MaxReportBytes)
	}
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, errors.Mark(errors.Wrap(err, "admission report"), ErrMalformed)
	}
	return r, r.check()
}

func (r *Report) check() error {
	if r.Service == "" || len(r.Service) > maxServiceName {
		return errors.Wrapf(ErrMalformed, "service name of %d bytes, allowed 1 to %d", len(r.Service), maxServiceName)
	}
	if r.Flags&^flagMask != 0 {
		return errors.Wrapf(ErrMalformed, "flags %#x, allowed %#x", r.Flags, flagMask)
	}
	return r.eachRow(func(int, int, *fields) {})
}

// eachRow calls visit for each row and returns the first error. Rows before a
// malformed one are visited, so callers check a report before they use it.
func (r *Report) eachRow(visit func(index, mask int, f *fields)) error {
	rest := r.Rows
	for len(rest) > 0 {
		index, mask := rest[0]/rowIndexFactor, rest[0]%rowIndexFactor
		if rest[0] < 0 || index >= maxIndex {
			return errors.Wrapf(ErrMalformed, "row header %d, allowed 0 to %d", rest[0], maxIndex*rowIndexFactor-1)
		}
		mask = rowMask(mask)
		rest = rest[1:]
		var f fields
		for i := range f {
			if mask&(1<<i) == 0 {
				continue
			}
			if len(rest) == 0 {
				return errors.Wrap(ErrMalformed, "row is truncated")
			}
			if rest[0] < 0 || rest[0] > maxFlows {
				return errors.Wrapf(ErrMalformed, "value %d, allowed 0 to %d", rest[0], maxFlows)
			}
			f[i], rest = rest[0], rest[1:]
		}
		visit(index, mask, &f)
	}
	return nil
}

// rowMask adds the level to the mask of a row with a loan. The level follows
// every loan and has no bit in the row header.
func rowMask(mask int) int {
	if mask&(1<<fieldLoan) != 0 {
		mask |= 1 << fieldLevel
	}
	return mask
}

// appendRow appends one encoded row. It appends nothing when mask is 0.
func appendRow(rows []int, index, mask int, f *fields) []int {
	if mask == 0 {
		return rows
	}
	mask = rowMask(mask)
	rows = append(rows, index*rowIndexFactor+mask&^(1<<fieldLevel))
	for i := range f {
		if mask&(1<<i) != 0 {
			rows = append(rows, f[i])
		}
	}
	return rows
}

// AppendContent appends the report in the form of a datagram's content: the
// service, then epoch, base, sequence number, acknowledgement, flags and rows.
func (r *Report) AppendContent(dst []byte) []byte {
	dst = peer.AppendText(dst, r.Service)
	dst = peer.AppendNumbers(dst, uint64(r.Epoch), uint64(r.Base), r.Seq, r.Ack, uint64(r.Flags))
	for _, v := range r.Rows {
		dst = peer.AppendNumbers(dst, uint64(v))
	}
	return dst
}

// ParseContent decodes and checks the content of a report datagram.
func ParseContent(raw []byte) (Report, error) {
	c := peer.NewReportReader(raw)
	r := Report{Service: c.Text()}
	epoch, base := c.Number(), c.Number()
	r.Seq, r.Ack = c.Number(), c.Number()
	flags := c.Number()
	for c.More() {
		r.Rows = append(r.Rows, int(c.Number()))
	}
	if c.Err() != nil {
		return Report{}, errors.Mark(c.Err(), ErrMalformed)
	}
	if epoch > math.MaxUint32 || base > math.MaxUint32 || flags > math.MaxUint8 {
		return Report{}, errors.Wrapf(ErrMalformed, "epoch %d, base %d or flags %#x out of range", epoch, base, flags)
	}
	r.Epoch, r.Base, r.Flags = uint32(epoch), uint32(base), uint8(flags)
	return r, r.check()
}

// fits reports whether the report fits in a datagram.
func (r *Report) fits() bool { return len(r.AppendContent(nil)) <= peer.MaxReport }

// cost returns the bytes of the report on the wire, headers included.
func (r *Report) cost() int {
	if !r.Call {
		return len(r.AppendContent(nil)) + peer.DatagramOverhead
	}
	raw, err := json.Marshal(r)
	if err != nil {
		return MaxReportBytes
	}
	return len(raw) + peer.CallOverhead
}
