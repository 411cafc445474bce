// Package examples embeds the settings and documents of two example deployments.
package examples

import "embed"

// FS holds one directory per deployment, with settings.yaml, hosts.yaml,
// datacentres.yaml and services/.
//
//go:embed peachtree-hollow qadri-brothers
var FS embed.FS

// Names lists the deployments, each the name of a directory in FS.
var Names = []string{"peachtree-hollow", "qadri-brothers"}
