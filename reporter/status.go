package reporter

import (
	"time"

	"poplarwind/announcer"
	"poplarwind/keeper"
	"poplarwind/prober"
)

// Status is what an entry tells operators.
type Status struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// Uptime is in seconds.
	Uptime float64 `json:"uptime"`
	// Store tells of the platform's store.
	Store StoreStatus `json:"store"`
	// Settings are in order of path.
	Settings []SettingsStatus   `json:"settings"`
	Services []ServiceStatus    `json:"services"`
	Members  []announcer.Status `json:"members"`
	// Peers is the cost of messages between entries.
	Peers  announcer.Traffic `json:"peers"`
	Claims ClaimStatus       `json:"claims"`
}

// StoreStatus tells of the platform's store as the entry sees it.
type StoreStatus struct {
	// Age is the time since its last answer, in seconds; negative if there
	// was none.
	Age float64 `json:"age"`
	keeper.Usage
}

// SettingsStatus tells which version of a path is in force.
type SettingsStatus struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	// Refused is a newer version that is not in force, with its fault.
	Refused uint64 `json:"refused,omitempty"`
	Fault   string `json:"fault,omitempty"`
}

// ServiceStatus tells of one service at the entry.
type ServiceStatus struct {
	Path string `json:"path"`
	// Carried says that the entry is one of those that carry the service.
	Carried bool     `json:"carried"`
	Subset  []string `json:"subset"`
	Waiting int      `json:"waiting"`
	Calls   int64    `json:"calls"`
	Refused int64    `json:"refused"`
	Retries int64    `json:"retries"`
	Hedges  int64    `json:"hedges"`
	No      int64    `json:"no"`
	Unknown int64    `json:"unknown"`
	Yes     int64    `json:"yes"`
	Late    int64    `json:"late"`
	Gone    int64    `json:"gone"`
	// OnTime is the weighted share of calls answered well and in time.
	OnTime float64 `json:"ontime"`
	// Probes is the cost of measuring the service.
	Probes  prober.Spent   `json:"probes"`
	Servers []ServerStatus `json:"servers"`
}

// ServerStatus tells of one server as the entry sees it.
type ServerStatus struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Flight  int    `json:"flight"`
	Free    int    `json:"free"`
	Load    int    `json:"load"`
	Leaving bool   `json:"leaving"`
	Ejected bool   `json:"ejected"`
	Suspect bool   `json:"suspect"`
	Home    bool   `json:"home"`
	// Expected is the average time of an answer, in milliseconds.
	Expected float64 `json:"expected"`
}

// ClaimStatus tells of claims for idempotency keys.
type ClaimStatus struct {
	Granted  int64 `json:"granted"`
	Replayed int64 `json:"replayed"`
	Refused  int64 `json:"refused"`
	// Pending counts outcomes still to be written, Dropped those given up.
	Pending int64 `json:"pending"`
	Dropped int64 `json:"dropped"`
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
