/** What a backend server's answer to a probe tells. */
export interface ProbeResponse {
  /** Identifies the process from start to end; missing if not reported. */
  readonly incarnation?: string;
}
