// Package buildinfo reports the version of the running build.
package buildinfo

import "runtime/debug"

// Version returns the module version that is built into the binary, "devel" if
// there is none.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
