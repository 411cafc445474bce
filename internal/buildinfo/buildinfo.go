// Package buildinfo tells which build of the product runs.
package buildinfo

import "runtime/debug"

// Version returns the module version that is built into the binary.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
