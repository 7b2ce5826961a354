/** Version of the datagrams between daemons. Others are ignored. */
export const FLEET_MESSAGE_VERSION = 1;
