/** Environment variable that holds the path of the settings file. */
export const SETTINGS_VARIABLE = "MARIGOLDSTALL_CONFIG";
