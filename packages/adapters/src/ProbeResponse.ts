/** What a backend server reports in its answer to a health probe. */
export interface ProbeResponse {
  /** Identifier that the process keeps from its start to its end; missing if it reports none. */
  readonly incarnation?: string;
}
