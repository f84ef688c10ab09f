// Package version holds the version that both binaries print.
package version

// Text is the version of this tree.
const Text = "0.1.0-dev"
