package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"
)

// Handshake limits and the protocol version that both sides must share.
const (
	handshakeVersion  = 1
	maxHandshakeBytes = 512
	nonceBytes        = 32
)

// Reasons for which a handshake is refused.
var (
	// ErrUnlisted is also returned for a call to a host that is not on the host list.
	ErrUnlisted  = errors.New("host is not on the list")
	errHandshake = errors.New("malformed handshake message")
	errMAC       = errors.New("wrong key: message authentication code does not match")
	errWrongHost = errors.New("connection is addressed to another host")
)

// handshakeMessage is one of the four messages of the mutual challenge:
//
//	dialling host:  version, from, to, nonce
//	accepting host: from, nonce, mac over both nonces and ids
//	dialling host:  mac over both nonces and ids
//	accepting host: ok
//
// The role is part of each MAC, so one side's MAC cannot be used as the other's.
type handshakeMessage struct {
	Version int    `json:"version"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
	Nonce   []byte `json:"nonce,omitempty"`
	MAC     []byte `json:"mac,omitempty"`
	OK      bool   `json:"ok,omitempty"`
}

func decodeHandshake(b []byte) (handshakeMessage, error) {
	var m handshakeMessage
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil || d.InputOffset() != int64(len(b)) {
		return m, errHandshake
	}
	switch {
	case m.Version != handshakeVersion,
		len(m.From) > MaxIDBytes, len(m.To) > MaxIDBytes,
		len(m.Nonce) != 0 && len(m.Nonce) != nonceBytes,
		len(m.MAC) != 0 && len(m.MAC) != sha256.Size:
		return m, errHandshake
	}
	return m, nil
}

func readHandshake(conn net.Conn) (handshakeMessage, error) {
	b, err := readFrame(conn, maxHandshakeBytes)
	if err != nil {
		return handshakeMessage{}, err
	}
	return decodeHandshake(b)
}

func writeHandshake(conn net.Conn, m handshakeMessage) error {
	m.Version = handshakeVersion
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return writeFrame(conn, b)
}

// challenge holds the data that both sides of a handshake authenticate with a MAC.
type challenge struct {
	dialler, acceptor           string
	diallerNonce, acceptorNonce []byte
}

const (
	roleDialler  = "dialler"
	roleAcceptor = "acceptor"
)

func (c *challenge) mac(key []byte, role string) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(role), []byte(c.dialler), []byte(c.acceptor), c.diallerNonce, c.acceptorNonce,
	} {
		h.Write([]byte{byte(len(part))}) // length prefix, so that parts cannot run into each other
		h.Write(part)
	}
	return h.Sum(nil)
}

func (c *challenge) verify(key []byte, role string, mac []byte) error {
	if !hmac.Equal(mac, c.mac(key, role)) {
		return errMAC
	}
	return nil
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	rand.Read(b) // never returns an error
	return b
}

// dialHandshake runs the handshake on the dialling side.
func dialHandshake(conn net.Conn, key []byte, self, host string) error {
	c := challenge{dialler: self, acceptor: host, diallerNonce: newNonce()}
	if err := writeHandshake(conn, handshakeMessage{From: self, To: host, Nonce: c.diallerNonce}); err != nil {
		return err
	}
	reply, err := readHandshake(conn)
	if err != nil {
		return err
	}
	if reply.From != host {
		return errWrongHost
	}
	if len(reply.Nonce) == 0 {
		return errHandshake
	}
	c.acceptorNonce = reply.Nonce
	if err := c.verify(key, roleAcceptor, reply.MAC); err != nil {
		return err
	}
	if err := writeHandshake(conn, handshakeMessage{MAC: c.mac(key, roleDialler)}); err != nil {
		return err
	}
	last, err := readHandshake(conn)
	if err == nil && !last.OK {
		err = errHandshake
	}
	return err
}

// acceptHandshake runs the handshake on the accepting side and returns the id of
// the dialling host. With an error, it returns the id that the dialling host
// claimed, or an empty string.
func acceptHandshake(conn net.Conn, key []byte, self string, listed func(id string) bool) (string, error) {
	hello, err := readHandshake(conn)
	if err != nil {
		return "", err
	}
	if hello.From == "" || len(hello.Nonce) == 0 {
		return "", errHandshake
	}
	if hello.To != self {
		return hello.From, errWrongHost
	}
	if !listed(hello.From) {
		return hello.From, ErrUnlisted
	}
	c := challenge{dialler: hello.From, acceptor: self, diallerNonce: hello.Nonce, acceptorNonce: newNonce()}
	reply := handshakeMessage{From: self, Nonce: c.acceptorNonce, MAC: c.mac(key, roleAcceptor)}
	if err := writeHandshake(conn, reply); err != nil {
		return hello.From, err
	}
	answer, err := readHandshake(conn)
	if err != nil {
		return hello.From, err
	}
	if err := c.verify(key, roleDialler, answer.MAC); err != nil {
		return hello.From, err
	}
	return hello.From, writeHandshake(conn, handshakeMessage{OK: true})
}
