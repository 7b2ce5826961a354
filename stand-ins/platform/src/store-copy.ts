import type { KeyedTopic } from "./keyed-topic.js";

/** Topics of the store by name, as they were when the copy was taken. */
export type StoreCopy = ReadonlyMap<string, KeyedTopic>;
