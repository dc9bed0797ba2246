/** Answer of a backend server to a health probe. */
export interface ProbeResponse {
  /**
   * Identifies one run of the server process: constant while it runs, different after a restart.
   * Missing if the server does not report it.
   */
  readonly incarnation?: string;
}
