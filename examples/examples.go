// Package examples embeds the documents of two complete deployments.
package examples

import "embed"

// FS holds one directory per deployment, with settings.yaml, hosts.yaml,
// datacentres.yaml and services/.
//
//go:embed peachtree-hollow qadri-brothers
var FS embed.FS

// Names lists the deployments.
var Names = []string{"peachtree-hollow", "qadri-brothers"}
