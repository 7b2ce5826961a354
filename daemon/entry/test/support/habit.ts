/** How a caller uses a connection. A mixed one sends requests of all kinds behind one another. */
export type Habit = "serial" | "pipelined" | "mixed" | "chunked" | "late" | "slow-reader";
