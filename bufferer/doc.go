// Package bufferer holds the bodies of messages in memory within a budget that all
// messages of a process share.
//
// A limit on the size of one body does not bound the memory of a process: it receives
// many at the same time, and does not choose from whom. Each body therefore reserves
// memory in the budget before it grows. Bodies are divided into classes by their size,
// and larger ones have only a part of the budget, so that small messages are received
// however many large ones are. A body for which there is no room waits for it, which
// leaves its sender waiting too. Of bodies that wait for each other one gives way, so that
// the others are completed: one of the largest class, and there the largest of medium size,
// or the large one that began last. A small body that has been arriving for some time gives way
// to other small ones. A body whose recipient does not read it gives way to
// any other.
//
// Bodies consist of blocks that are used again, not of a contiguous slice: a slice that
// grows is copied, and a process whose bodies are copied needs a multiple of the memory
// that it has reserved.
package bufferer
