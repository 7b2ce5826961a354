/** Limit that a body exceeded: its own one, or the one of all bodies together. */
export type BodyLimit = "body-size" | "total-size";
