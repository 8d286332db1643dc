import {
  AverageInterferenceLearner,
  DecayingInterferenceLearner,
  ConstantInterferenceLearner,
  type InterferenceLearner,
} from '@chicoryspring/workers';
import {summarizeRuns} from '../placement/run_summary.js';
import {createSeededRandom} from '@chicoryspring/testing';
import {HiddenPairTable} from './hidden_pair_table.js';
import {LateReportSource} from './late_report_source.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7];
const CLASSES = Array.from({length: 8}, (_, number) => `class-${number}`);
/** Measurements after which the error is read, before and after the shift. */
const CHECKPOINTS = [100, 500, 2_000, 10_000];

const LEARNERS: Readonly<Record<string, () => InterferenceLearner>> = {
  'no learning': () => new ConstantInterferenceLearner(),
  'plain average': () => new AverageInterferenceLearner(),
  'with decay': () => new DecayingInterferenceLearner(),
};

/** The error of each learner against the hidden table, as root mean square. */
export function measureInterference(): readonly Readonly<
  Record<string, string>
>[] {
  return Object.entries(LEARNERS).map(([learner, create]) => {
    const runs = SEEDS.map(seed => measureSeed(create(), seed));
    const columns = Object.keys(runs[0]!);
    const summary = columns.map(column => [
      column,
      summarizeRuns(runs.map(run => run[column]!)),
    ]);
    return {learner, ...Object.fromEntries(summary)};
  });
}

function measureSeed(
  learner: InterferenceLearner,
  seed: number,
): Readonly<Record<string, number>> {
  const random = createSeededRandom(seed);
  const before = new HiddenPairTable(CLASSES, random);
  const after = new HiddenPairTable(CLASSES, random);
  const source = new LateReportSource(before, random);
  const first = learn(learner, source, before, '');
  source.shiftTo(after);
  return {...first, ...learn(learner, source, after, 'shift ')};
}

function learn(
  learner: InterferenceLearner,
  source: LateReportSource,
  table: HiddenPairTable,
  label: string,
): Readonly<Record<string, number>> {
  const errors: Record<string, number> = {};
  let observed = 0;
  for (const checkpoint of CHECKPOINTS) {
    while (observed < checkpoint) {
      const observations = source.next();
      for (const observation of observations) learner.observe(observation);
      observed += observations.length;
    }
    const error = errorOf(learner, table, source.instant);
    errors[`${label}${checkpoint}`] = error;
  }
  return errors;
}

function errorOf(
  learner: InterferenceLearner,
  table: HiddenPairTable,
  now: number,
): number {
  const squares = table.classes.flatMap(affected =>
    table.classes.map(other => {
      const {interference} = learner.estimate(affected, other, now);
      return (interference - table.harmOf(affected, other)) ** 2;
    }),
  );
  const sum = squares.reduce((total, square) => total + square, 0);
  return Math.sqrt(sum / squares.length);
}
