/** Address of the listener under test. Test processes that run at the same time use different loopback addresses. */
export const LISTENER_ADDRESS = {
    host: `127.${192 + (process.pid >> 8) % 32}.${process.pid % 256}.1`,
    port: 18_742,
} as const;
