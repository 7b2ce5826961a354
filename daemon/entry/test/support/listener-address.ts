/** Address of the listener under test. */
export const LISTENER_ADDRESS = { host: "127.0.0.1", port: 18_742 } as const;
