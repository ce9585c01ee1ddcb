"""Real processes under load while bytes follow the answers of backends on connections that are kept."""

from __future__ import annotations

from lupinlink.net.bodies import SMALL_BODY_BYTES
from tests.faulty_answers import AnswerFault, Extra
from tests.second_answers import SecondAnswersStage

SECONDS = 4.0
ONE_BACKEND = frozenset({1})
MIN_SERVED = 0.9


class SecondAnswers(SecondAnswersStage):
    def judge_fault(
        self, fault: AnswerFault, clients: int = 12, min_served: float = MIN_SERVED, seed: int = 1
    ) -> None:
        findings = self.play(fault, SECONDS, seed, clients)
        self.assertGreater(self.farm.extras, 0, findings)
        self.assertFalse(findings.broken, findings)
        self.assertGreater(findings.served_share, min_served, findings)

    # A client was served the answer to an earlier request, as a second copy of it came some ms late.
    def test_a_late_copy_of_an_answer_is_not_served_to_another_request(self) -> None:
        self.judge_fault(AnswerFault(Extra.SAME, 0.02, (0.0, 0.030)))

    # Each shifted answer left its own request's answer to the next request, with delays to 100 ms.
    def test_copies_up_to_100_ms_late_are_not_served_to_other_requests(self) -> None:
        self.judge_fault(AnswerFault(Extra.SAME, 0.02, (0.0, 0.100)))

    # Running requests were sent again or refused, as a late answer said that they had never run.
    def test_a_late_never_ran_answer_does_not_repeat_or_refuse_a_running_request(self) -> None:
        self.judge_fault(AnswerFault(Extra.NEVER_RAN, 0.3, (0.0, 0.012)), clients=24)

    # Two attempts of a request were out at once, as a late 500 was taken for the first one's end.
    def test_a_late_error_does_not_cause_a_second_attempt_beside_the_first(self) -> None:
        self.judge_fault(AnswerFault(Extra.ERROR, 0.1, (0.0, 0.030)))

    # The next answer completed half an answer that had come late, and was served as its body.
    def test_a_late_half_of_an_answer_is_not_completed_by_the_next_answer(self) -> None:
        self.judge_fault(AnswerFault(Extra.HALF_ANSWER, 0.05, (0.0, 0.100)))

    # The rest of a body that was longer than its Content-Length, and other bytes, met the next request.
    def test_late_bytes_of_other_kinds_end_no_other_request(self) -> None:
        for extra in (Extra.LONGER_BODY, Extra.HALF_HEAD, Extra.BROKEN, Extra.EARLY_HINTS, Extra.OTHER):
            with self.subTest(extra=extra.name):
                self.judge_fault(AnswerFault(extra, 0.05, (0.0, 0.100)))
                self.stop()

    # A long answer is passed on while it comes; a copy of it that followed met the next request.
    def test_copies_of_streamed_answers_are_not_served_to_other_requests(self) -> None:
        self.judge_fault(AnswerFault(Extra.SAME, 0.05, (0.0, 0.100), padding_bytes=2 * SMALL_BODY_BYTES))

    # One faulty backend among sound ones mixed up the requests that were sent to it.
    def test_late_answers_of_one_backend_break_no_rule(self) -> None:
        self.judge_fault(AnswerFault(Extra.NEVER_RAN, 0.3, (0.0, 0.100), ONE_BACKEND))
