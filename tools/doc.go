// Package tools pins the development tools of nutmeglatch.
package tools
