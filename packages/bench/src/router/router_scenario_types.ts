/** How the speed of the fake targets differs and shifts. */
export interface RouterScenario {
  readonly name: string;
  /** Time after which every target draws another slowdown. */
  readonly shiftMilliseconds: number;
}
