// Package faker provides small fakes of the systems around the load balancer: the
// platform, a server and its callers. Tests and the demo use it; the daemon
// does not.
package faker
