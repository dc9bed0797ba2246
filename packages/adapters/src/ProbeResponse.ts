/** What a backend server's answer to a probe tells. */
export interface ProbeResponse {
  /** What its process calls itself since its start; missing if it tells none. */
  readonly incarnation?: string;
}
