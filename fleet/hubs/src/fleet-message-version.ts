/** Protocol version of the datagrams between daemons. Datagrams of other versions are ignored. */
export const FLEET_MESSAGE_VERSION = 2;
