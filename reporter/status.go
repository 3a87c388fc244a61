package reporter

import (
	"time"

	"poplarwind/announcer"
	"poplarwind/prober"
	"poplarwind/storer"
)

// Status is the state of an entry.
type Status struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"leaving"`
	// Uptime is in seconds.
	Uptime float64 `json:"uptime"`
	// Store is the state of the platform's store.
	Store StoreStatus `json:"store"`
	// Settings are sorted by path.
	Settings []SettingsStatus   `json:"settings"`
	Services []ServiceStatus    `json:"services"`
	Members  []announcer.Status `json:"members"`
	// Peers is the traffic between entries.
	Peers  announcer.Traffic `json:"peers"`
	Claims ClaimStatus       `json:"claims"`
}

// StoreStatus is the state of the platform's store as seen by the entry.
type StoreStatus struct {
	// Age is the time since the last response of the store in seconds, negative
	// if there was none.
	Age float64 `json:"age"`
	storer.Usage
}

// SettingsStatus is the version of the settings in force at a path.
type SettingsStatus struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	// Rejected is a newer version that was rejected, and Fault the reason.
	Rejected uint64 `json:"refused,omitempty"`
	Fault    string `json:"fault,omitempty"`
}

// ServiceStatus is the state of one service at the entry.
type ServiceStatus struct {
	Path string `json:"path"`
	// Assigned reports whether the service is assigned to the entry.
	Assigned bool `json:"carried"`
	// Subset holds the names of the entries that serve the service.
	Subset []string `json:"subset"`
	// Waiting is the length of the admission queue.
	Waiting int `json:"waiting"`
	// Calls counts submitted calls, Rejected those rejected before they were
	// sent.
	Calls    int64 `json:"calls"`
	Rejected int64 `json:"refused"`
	// Retries and Hedges count attempts beyond the first.
	Retries int64 `json:"retries"`
	Hedges  int64 `json:"hedges"`
	// No, Unknown and Yes count responses by whether the call ran.
	No      int64 `json:"no"`
	Unknown int64 `json:"unknown"`
	Yes     int64 `json:"yes"`
	// Late counts calls without a response by their deadline.
	Late int64 `json:"late"`
	// Disconnected counts calls whose caller disconnected.
	Disconnected int64 `json:"gone"`
	// OnTime is the weighted fraction of calls served without error and by their
	// deadline.
	OnTime float64 `json:"ontime"`
	// Probes is the cost of probing the servers.
	Probes  prober.Usage   `json:"probes"`
	Servers []ServerStatus `json:"servers"`
}

// ServerStatus is the state of one server as seen by the entry.
type ServerStatus struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	// InFlight is the number of attempts of this entry in flight.
	InFlight int `json:"flight"`
	// FreeSlots estimates how many more calls the server can run concurrently.
	FreeSlots int `json:"free"`
	// Load is the last load that the server reported, in calls.
	Load     int  `json:"load"`
	Draining bool `json:"leaving"`
	Ejected  bool `json:"ejected"`
	Suspect  bool `json:"suspect"`
	Owned    bool `json:"home"`
	// MeanLatency is the moving average of the response time in milliseconds.
	MeanLatency float64 `json:"expected"`
}

// ClaimStatus counts claims of idempotency keys.
type ClaimStatus struct {
	Granted  int64 `json:"granted"`
	Replayed int64 `json:"replayed"`
	Rejected int64 `json:"refused"`
	// Pending counts outcomes not written yet, Dropped those abandoned.
	Pending int64 `json:"pending"`
	Dropped int64 `json:"dropped"`
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
