/** Names of the sites. */
export type SiteName = "luznik" | "zilina";
