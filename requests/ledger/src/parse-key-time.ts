import { validate, version } from "uuid";

/** Extracts the timestamp of a UUIDv7 in Unix milliseconds. Returns undefined if the key is not a UUIDv7. */
export const parseKeyTime = (key: string): number | undefined =>
    validate(key) && version(key) === 7 ? Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16) : undefined;
