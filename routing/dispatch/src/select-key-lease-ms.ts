// The rest of the time covers what ages do not contain: the delays of datagrams and calls on the way from the VM that
// read the store.
const KEY_LEASE_SHARE = 0.8;

/**
 * Age of the configuration up to which API keys count, where a revocation also binds VMs that cannot reach the store.
 * Undefined where it does not.
 */
export const selectKeyLeaseMs = (keyRevocationMs: number | undefined): number | undefined =>
    keyRevocationMs === undefined ? undefined : keyRevocationMs * KEY_LEASE_SHARE;
