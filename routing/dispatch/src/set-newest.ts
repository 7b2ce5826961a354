/** Returns a copy of a map with an entry as its newest one, without the oldest entry if there are too many. */
export const setNewest = <Key, Value>(
    map: ReadonlyMap<Key, Value>,
    entry: readonly [Key, Value],
    opts: { readonly maxSize: number; },
): ReadonlyMap<Key, Value> => {
    const [key, value] = entry;
    const copy = new Map(map);
    copy.delete(key);
    copy.set(key, value);
    const [oldest] = copy.keys();
    if (copy.size > opts.maxSize && oldest !== undefined) {
        copy.delete(oldest);
    }
    return copy;
};
