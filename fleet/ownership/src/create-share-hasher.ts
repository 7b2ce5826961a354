import xxhash from "xxhash-wasm";
import { SHARE_COUNT } from "./share-count.js";

/** Loads xxhash and resolves to a function that maps an idempotency key of a service to its share. */
export const createShareHasher = async (): Promise<(service: string, key: string) => number> => {
    const { h32 } = await xxhash();
    return (service, key) => h32(`${service}\n${key.toLowerCase()}`) % SHARE_COUNT;
};
