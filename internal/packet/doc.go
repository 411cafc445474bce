// Package packet parses the callers' IP packets, names their flows and encodes
// the header that entry hosts put in front of packets they forward to each other.
package packet
