package kvstore

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// maxEntryBytes bounds one element of a response. It leaves room for a base64
// value slightly above the platform's limit, so that such a value reaches the
// parser, which rejects it and names its key.
const maxEntryBytes = 2 * document.MaxValueBytes

// kvEntry is an element of a response. Value is in base64.
type kvEntry struct {
	Key   string
	Value string
}

// decoder reads a response element by element, so that its memory does not
// depend on the length of the response.
type decoder struct {
	json   *json.Decoder
	budget *budgetReader
}

func newDecoder(body io.Reader, maxBody int64) *decoder {
	b := &budgetReader{r: body, total: maxBody, element: maxEntryBytes}
	return &decoder{json.NewDecoder(b), b}
}

// each calls visit for every value.
func (d *decoder) each(visit func(kvEntry)) error { return decodeEach(d, visit) }

// decodeEach calls visit for every element. When it returns an error, any number
// of elements may have been visited.
func decodeEach[T any](d *decoder, visit func(T)) error {
	if err := d.delimiter('['); err != nil {
		return err
	}
	for d.more() {
		var e T
		if err := d.json.Decode(&e); err != nil {
			return d.classify(err)
		}
		visit(e)
	}
	return d.delimiter(']')
}

// more resets the byte budget of an element and reports whether another element
// follows.
func (d *decoder) more() bool {
	d.budget.element = maxEntryBytes
	return d.json.More()
}

func (d *decoder) delimiter(want json.Delim) error {
	d.budget.element = maxEntryBytes
	t, err := d.json.Token()
	if err != nil {
		return d.classify(err)
	}
	if t != want {
		return readError(ReasonMalformed, "%v; allowed: a JSON array of objects with Key and Value", t)
	}
	return nil
}

// classify wraps a decoding error in a ReadError with its reason.
func (d *decoder) classify(err error) error {
	var syntax *json.SyntaxError
	var unmarshal *json.UnmarshalTypeError
	switch {
	case errors.Is(err, errBudget):
		return wrapRead(ReasonTooLarge, err)
	case errors.As(err, &syntax), errors.As(err, &unmarshal), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return wrapRead(ReasonMalformed, err)
	default:
		return wrapRead(ReasonConnect, err)
	}
}

var errBudget = errors.New("response is too large")

// budgetReader limits the bytes read of a response and of one of its elements.
// The JSON decoder reads ahead, so the limit of an element is approximate.
type budgetReader struct {
	r              io.Reader
	total, element int64
}

func (b *budgetReader) Read(p []byte) (int, error) {
	limit := min(b.total, b.element)
	if limit <= 0 {
		return 0, errBudget
	}
	n, err := b.r.Read(p[:min(int64(len(p)), limit)])
	b.total -= int64(n)
	b.element -= int64(n)
	return n, err
}
