// Package faker holds small stand-ins for what surrounds the system: the
// platform, a server and its callers. Tests and the demo use it; the daemon
// does not.
package faker
