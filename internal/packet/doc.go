// Package packet parses and builds the IP packets of flows, derives flow keys, and
// encodes the header of packets that entry hosts forward to each other.
package packet
